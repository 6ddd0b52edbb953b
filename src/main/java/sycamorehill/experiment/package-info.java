/**
 * Measurements that run the product's own code at sizes beyond today's.
 */
package sycamorehill.experiment;
