/**
 * Immutable data types shared by all layers. This package depends on no other package of
 * the project.
 */
package sycamorehill.model;
