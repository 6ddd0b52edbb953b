/**
 * The whole system in one process on loopback, for a first look and for trials.
 */
package sycamorehill.local;
