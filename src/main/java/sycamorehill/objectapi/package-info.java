/**
 * Clients of the platform's object API and VM list.
 */
package sycamorehill.objectapi;
