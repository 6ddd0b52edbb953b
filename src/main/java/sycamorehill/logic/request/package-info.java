/**
 * Request life cycle: attempts, retries, resumed streams and the final outcome.
 */
package sycamorehill.logic.request;
