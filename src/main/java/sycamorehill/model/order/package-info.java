/**
 * Claims of orders that may run at most once.
 */
package sycamorehill.model.order;
