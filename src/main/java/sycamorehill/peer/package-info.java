/**
 * Transport of messages between nodes: length-prefixed MessagePack frames over TCP,
 * authenticated with a shared secret.
 */
package sycamorehill.peer;
