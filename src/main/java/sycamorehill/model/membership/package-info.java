/**
 * Nodes of ours and what is known of their being alive.
 */
package sycamorehill.model.membership;
