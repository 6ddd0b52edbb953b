package sycamorehill.operator;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Ticket;

/**
 * What operators read of a node without asking the decisions.
 */
public interface NodeReader {

	/**
	 * The state in force on the node.
	 * @return the truth, once the node has one
	 */
	Optional<DesiredState> desiredState();

	/**
	 * The state after a ticket.
	 * @param number the ticket
	 * @return the truth, while the node keeps the history that far
	 */
	Optional<DesiredState> desiredStateAfter(long number);

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
