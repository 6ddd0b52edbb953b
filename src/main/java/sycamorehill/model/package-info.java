/**
 * Plain data that every layer shares; it depends on nothing of ours.
 */
package sycamorehill.model;
