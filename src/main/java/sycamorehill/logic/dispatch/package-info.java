/**
 * Decisions of an entry node about callers' requests: which route, which target, whether
 * to send again, when to refuse.
 */
package sycamorehill.logic.dispatch;
