/**
 * Contains the control thread, the dispatch of its effects, and the assembly of a node.
 */
package sycamorehill.runtime;
