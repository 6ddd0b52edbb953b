/**
 * Reconstructs the history and the outcome of one request from the logs of several nodes.
 */
package sycamorehill.explain;
