/**
 * Messages between our own processes. A field that a reader does not know is passed over.
 */
package sycamorehill.model.peer;
