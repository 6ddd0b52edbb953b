package sycamorehill.model.ticket;

import java.util.List;
import java.util.Optional;

/**
 * Where a ticket is in force.
 *
 * @param number the ticket
 * @param ticket the ticket itself, if this node still keeps it
 * @param dataCentres by data centre
 */
public record TicketRollout(long number, Optional<Ticket> ticket, List<DataCentreRollout> dataCentres) {

}
