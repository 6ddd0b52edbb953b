/**
 * Identifiers: names, incarnations, numbers and addresses.
 */
package sycamorehill.model.identity;
