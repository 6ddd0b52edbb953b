/**
 * The decisions of a node, made by one reducer for each part of its state.
 */
package sycamorehill.logic;
