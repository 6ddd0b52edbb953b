/**
 * Requests of callers, attempts and their outcomes.
 */
package sycamorehill.model.request;
