package sycamorehill.logic.membership;

import java.time.Instant;

import org.pcollections.PMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.DataCentreRollout;

/**
 * An operator who waits to hear where a ticket is in force.
 *
 * @param call the waiting operator
 * @param number the ticket
 * @param until when the answer goes out with what has come in
 * @param answers what each data centre has said
 */
record RolloutQuery(OperatorCallIdentifier call, long number, Instant until,
		PMap<DataCentreName, DataCentreRollout> answers) {

	RolloutQuery with(DataCentreRollout rollout) {
		return new RolloutQuery(this.call, this.number, this.until, this.answers.plus(rollout.dataCentre(), rollout));
	}

}
