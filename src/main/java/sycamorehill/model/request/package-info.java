/**
 * Requests of callers, their attempts and their outcomes.
 */
package sycamorehill.model.request;
