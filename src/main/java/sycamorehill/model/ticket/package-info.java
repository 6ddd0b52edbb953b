/**
 * Tickets, which are change requests of operators, and the desired state that they result
 * in. A ticket carries the complete new state of each item that it changes.
 */
package sycamorehill.model.ticket;
