/**
 * Tunable limits and timings of the node's logic, read from the settings.
 */
package sycamorehill.model.policy;
