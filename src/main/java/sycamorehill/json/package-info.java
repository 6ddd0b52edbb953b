/**
 * Mapping of the model to JSON and MessagePack, shared by all parts that communicate with
 * other processes.
 */
package sycamorehill.json;
