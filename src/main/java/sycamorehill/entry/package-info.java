/**
 * The process of an entry VM: the connections of callers and to targets, and the calls to
 * the store and to engines. This package performs the input and output; the decisions are
 * made in {@code sycamorehill.logic.entry}.
 */
package sycamorehill.entry;
