/**
 * The reducer of an entry node, which combines the directory, the requests and the
 * groups.
 */
package sycamorehill.logic.entry;
