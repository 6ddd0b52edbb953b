/**
 * Ensures that an order runs at most once: a node claims the idempotency key of an order
 * before it sends the order to a target.
 */
package sycamorehill.logic.order;
