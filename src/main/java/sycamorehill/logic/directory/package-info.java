/**
 * The targets that a node knows, and the groups that they report.
 */
package sycamorehill.logic.directory;
