package sycamorehill.operator;

import java.util.List;

import sycamorehill.model.ticket.Ticket;
import sycamorehill.model.ticket.Truth;

/**
 * What operators read of a node without asking the decisions.
 */
public interface NodeReader {

	/**
	 * The state in force on the node.
	 * @return the truth, or null before the node has one
	 */
	Truth truth();

	/**
	 * The tickets that the node still keeps.
	 * @return the tickets, newest first
	 */
	List<Ticket> tickets();

	/**
	 * All that the node knows, for a person to read.
	 * @return a value that can be written as JSON, without keys or bodies
	 */
	Object dump();

	/**
	 * The node's metrics.
	 * @return a value that can be written as JSON
	 */
	Object metrics();

}
