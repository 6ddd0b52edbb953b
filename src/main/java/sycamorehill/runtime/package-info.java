/**
 * The one control thread, the effects it carries out, and the assembly of a node.
 */
package sycamorehill.runtime;
