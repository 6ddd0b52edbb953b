/**
 * Messages between the nodes of the load balancer. A receiver ignores fields that it does
 * not know.
 */
package sycamorehill.model.peer;
