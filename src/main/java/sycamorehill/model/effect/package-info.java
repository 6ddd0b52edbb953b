/**
 * Actions of a node: the output of the reducer.
 */
package sycamorehill.model.effect;
