/**
 * Targets that requests are routed to.
 */
package sycamorehill.model.target;
