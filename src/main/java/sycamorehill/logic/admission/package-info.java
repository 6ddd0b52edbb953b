/**
 * Limits, queues and early refusal.
 */
package sycamorehill.logic.admission;
