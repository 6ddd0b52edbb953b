package sycamorehill.operator;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Ticket;

/**
 * Reads a node's state and metrics for operators without involving the decision logic.
 */
public interface NodeReader {

	/**
	 * Returns the desired state that the node has applied.
	 * @return the desired state, or empty if the node doesn't have one yet
	 */
	Optional<DesiredState> desiredState();

	/**
	 * Returns the desired state after a ticket.
	 * @param number the number of the ticket
	 * @return the desired state, or empty if the node's history doesn't include that
	 * ticket
	 */
	Optional<DesiredState> desiredStateAfter(long number);

	/**
	 * Returns the tickets that the node still keeps.
	 * @return the tickets, newest first
	 */
	List<Ticket> tickets();

	/**
	 * Returns the complete state of the node in a form for people to read.
	 * @return a value that can be written as JSON, without keys or bodies
	 */
	Object dump();

	/**
	 * Returns the node's metrics.
	 * @return a value that can be written as JSON
	 */
	Object metrics();

}
