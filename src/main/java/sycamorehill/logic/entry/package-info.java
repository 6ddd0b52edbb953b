/**
 * One reducer for an entry node: composes the directory, the requests and the groups.
 */
package sycamorehill.logic.entry;
