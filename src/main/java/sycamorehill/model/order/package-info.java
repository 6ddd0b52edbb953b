/**
 * Claims of orders, which are requests that may run at most once.
 */
package sycamorehill.model.order;
