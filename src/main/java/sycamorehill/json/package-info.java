/**
 * The one mapping of the model to JSON and MessagePack, shared by all edges.
 */
package sycamorehill.json;
