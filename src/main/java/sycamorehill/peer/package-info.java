/**
 * Transport between our own processes: TCP, length-framed MessagePack, authenticated by a
 * shared secret.
 */
package sycamorehill.peer;
