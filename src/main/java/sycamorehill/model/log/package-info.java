/**
 * Numbered log events.
 */
package sycamorehill.model.log;
