/**
 * Chooses the target of a request.
 */
package sycamorehill.logic.routing;
