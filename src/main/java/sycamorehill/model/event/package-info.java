/**
 * Everything that can happen to a node: the input of the reducer.
 */
package sycamorehill.model.event;
