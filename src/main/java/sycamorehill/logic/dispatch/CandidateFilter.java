package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * Removes the serving targets that may not receive a request now, whatever their load.
 * Only {@link #observe} and {@link #recordSent} change the state of a filter: selections
 * are also made to be explained.
 */
interface CandidateFilter {

	/**
	 * Takes note of the targets that a request finds, before some of them are removed for
	 * it. Not called for selections that are only explained.
	 * @param candidates the targets that earlier filters have left
	 * @param request the request
	 * @param now the current time
	 */
	default void observe(List<Candidate> candidates, DispatchedRequest request, Instant now) {
	}

	/**
	 * Removes targets.
	 * @param candidates the serving targets
	 * @param request the request
	 * @param now the current time
	 * @return the targets that may receive the request
	 */
	List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now);

	/**
	 * Returns why the filter removes targets, for operators.
	 * @return the reason, without the name of a target
	 */
	default String reason() {
		return "left out by " + getClass().getSimpleName();
	}

	/**
	 * Describes how the filter limits the requests to a target, for operators.
	 * @param candidate the target, removed or not
	 * @param now the current time
	 * @return the limit; empty if the filter sets none
	 */
	default Optional<String> describeLimit(Candidate candidate, Instant now) {
		return Optional.empty();
	}

	/**
	 * Records that a request is sent to a target.
	 * @param target the target
	 * @param now the current time
	 */
	default void recordSent(TargetName target, Instant now) {
	}

}
