/**
 * The nodes of the load balancer and which of them are live.
 */
package sycamorehill.model.membership;
