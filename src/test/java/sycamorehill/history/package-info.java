/**
 * Histories of several nodes, callers and fake targets in one thread under seeds.
 */
package sycamorehill.history;
