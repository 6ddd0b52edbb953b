package sycamorehill.logic.membership;

import java.time.Instant;

import org.pcollections.PMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.DataCentreRollout;

/**
 * A query of an operator for the rollout status of a ticket that waits for the answers of
 * the data centres.
 *
 * @param call the call of the operator
 * @param number the number of the ticket
 * @param until when the query is answered even if answers are missing
 * @param answers the answers received so far
 */
record RolloutQuery(OperatorCallIdentifier call, long number, Instant until,
		PMap<DataCentreName, DataCentreRollout> answers) {

	RolloutQuery with(DataCentreRollout rollout) {
		return new RolloutQuery(this.call, this.number, this.until, this.answers.plus(rollout.dataCentre(), rollout));
	}

}
