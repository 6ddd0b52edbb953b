/**
 * The process of an entry VM: connections of callers and to targets, the control thread,
 * and calls to the store and to engines. Bytes move here; decisions are in
 * {@code sycamorehill.logic.entry}.
 */
package sycamorehill.entry;
