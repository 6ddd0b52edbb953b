package sycamorehill.model.ticket;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.DataCentreName;

/**
 * Whether a ticket is in force in one data centre.
 *
 * @param dataCentre the data centre
 * @param nodesInForce live nodes that have it in force
 * @param nodesKnown nodes known there
 * @param inForceSince wall clock of the answering node when it saw the last known node
 * there take it
 * @param missing nodes that do not have it, each with why
 */
public record DataCentreRollout(DataCentreName dataCentre, int nodesInForce, int nodesKnown,
		Optional<Instant> inForceSince, List<String> missing) {

}
