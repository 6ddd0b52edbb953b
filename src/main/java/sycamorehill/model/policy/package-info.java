/**
 * Tunable bounds of the decisions, from the settings.
 */
package sycamorehill.model.policy;
