/**
 * Determines which nodes are live and how far they have applied the tickets.
 */
package sycamorehill.logic.membership;
