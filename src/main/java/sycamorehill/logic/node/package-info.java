/**
 * The one reducer of a node, composed of its parts.
 */
package sycamorehill.logic.node;
