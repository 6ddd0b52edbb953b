/**
 * The targets that a node believes in, and the groups that they report.
 */
package sycamorehill.logic.directory;
