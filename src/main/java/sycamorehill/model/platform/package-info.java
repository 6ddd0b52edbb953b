/**
 * Calls to the platform's object API and their results.
 */
package sycamorehill.model.platform;
