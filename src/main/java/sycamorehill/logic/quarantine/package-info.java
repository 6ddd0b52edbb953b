/**
 * Content that crashes targets.
 */
package sycamorehill.logic.quarantine;
