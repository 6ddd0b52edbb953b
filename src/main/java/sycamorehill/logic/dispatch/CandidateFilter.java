package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.List;

import sycamorehill.model.identity.TargetName;

/**
 * Removes the serving targets that may not receive a request now, whatever their load.
 */
interface CandidateFilter {

	/**
	 * Removes targets.
	 * @param candidates the serving targets
	 * @param request the request
	 * @param now the current time
	 * @return the targets that may receive the request
	 */
	List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now);

	/**
	 * Records that a request is sent to a target.
	 * @param target the target
	 * @param now the current time
	 */
	default void recordSent(TargetName target, Instant now) {
	}

}
