/**
 * Forming, repairing and draining of model groups.
 */
package sycamorehill.logic.group;
