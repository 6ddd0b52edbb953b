/**
 * Dispatches callers' requests on an entry node: routing, target selection, retries and
 * refusals.
 */
package sycamorehill.logic.dispatch;
