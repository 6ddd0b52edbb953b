/**
 * The choice of a target.
 */
package sycamorehill.logic.routing;
