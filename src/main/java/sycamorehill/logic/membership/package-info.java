/**
 * Which nodes of ours are alive.
 */
package sycamorehill.logic.membership;
