/**
 * Filing, folding and spreading of tickets.
 */
package sycamorehill.logic.ticket;
