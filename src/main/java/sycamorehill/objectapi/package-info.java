/**
 * Adapters of the platform: object API, VM list and weight store.
 */
package sycamorehill.objectapi;
