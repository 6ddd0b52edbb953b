/**
 * At-most-once orders by claims.
 */
package sycamorehill.logic.order;
