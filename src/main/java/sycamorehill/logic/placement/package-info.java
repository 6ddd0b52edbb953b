/**
 * The assignment of duties to nodes.
 */
package sycamorehill.logic.placement;
