/**
 * The process of an entry VM: connections of callers and to targets, and calls to the
 * store and to engines. Bytes move here; decisions are in
 * {@code sycamorehill.logic.entry}.
 */
package sycamorehill.entry;
