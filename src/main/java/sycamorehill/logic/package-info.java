/**
 * Decisions: one reducer over all events, composed of one small reducer for each part.
 */
package sycamorehill.logic;
