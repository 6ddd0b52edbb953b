/**
 * Admits requests: limits, queues and early refusal.
 */
package sycamorehill.logic.admission;
