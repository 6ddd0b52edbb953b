package sycamorehill.model.ticket;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.DataCentreName;

/**
 * The rollout status of a ticket in one data centre.
 *
 * @param dataCentre the data centre
 * @param nodesInForce the number of live nodes that have applied the ticket
 * @param nodesKnown the number of known nodes in the data centre
 * @param inForceSince the wall-clock time of the answering node when it observed that the
 * last known node had applied the ticket
 * @param missing the nodes that may not have applied the ticket, each with the reason
 */
public record DataCentreRollout(DataCentreName dataCentre, int nodesInForce, int nodesKnown,
		Optional<Instant> inForceSince, List<String> missing) {

}
