/**
 * Calls to the object API of the platform and its answers.
 */
package sycamorehill.model.platform;
