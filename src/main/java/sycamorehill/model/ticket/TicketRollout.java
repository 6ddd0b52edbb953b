package sycamorehill.model.ticket;

import java.util.List;
import java.util.Optional;

/**
 * The rollout status of a ticket: on how many nodes of each data centre it is applied.
 *
 * @param number the number of the ticket
 * @param ticket the ticket, if this node still keeps it
 * @param dataCentres the rollout status in each data centre
 */
public record TicketRollout(long number, Optional<Ticket> ticket, List<DataCentreRollout> dataCentres) {

}
