/**
 * Reads the logs of several nodes and tells what became of one request, and why.
 */
package sycamorehill.explain;
