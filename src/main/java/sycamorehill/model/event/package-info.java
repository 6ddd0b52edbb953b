/**
 * Events of a node: the input of the reducer.
 */
package sycamorehill.model.event;
