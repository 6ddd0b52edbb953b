/**
 * Numbered log events as data.
 */
package sycamorehill.model.log;
