/**
 * The submission of tickets by operators (filing), their application to the desired
 * state, and their replication between nodes.
 */
package sycamorehill.logic.ticket;
