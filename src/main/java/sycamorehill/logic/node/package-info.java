/**
 * The reducer of the whole node, composed of the reducers of its parts.
 */
package sycamorehill.logic.node;
