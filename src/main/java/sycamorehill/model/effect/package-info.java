/**
 * Everything that a node can do: the output of the reducer.
 */
package sycamorehill.model.effect;
