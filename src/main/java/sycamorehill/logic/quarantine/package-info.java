/**
 * Detection and quarantine of content that crashes targets.
 */
package sycamorehill.logic.quarantine;
