package sycamorehill.model.event;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.target.ServingTarget;

/**
 * Events of callers' requests and their attempts.
 */
public sealed interface RequestEvent extends Event {

	/**
	 * A caller's request was read completely.
	 *
	 * @param request the request
	 */
	record Arrived(RequestDescription request) implements RequestEvent {
	}

	/**
	 * The caller closed its connection or cancelled the request.
	 *
	 * @param request the caller's request
	 */
	record CallerGone(RequestIdentifier request) implements RequestEvent {
	}

	/**
	 * Raised by admission: the request may be sent.
	 *
	 * @param request the request
	 * @param idempotency how often it may be sent
	 */
	record Admitted(RequestDescription request, Idempotency idempotency) implements RequestEvent {
	}

	/**
	 * Raised by any part: the request did not run and gets its final answer.
	 *
	 * @param request the request
	 * @param outcome outcome that is sent to the caller
	 */
	record Refused(RequestIdentifier request, RequestOutcome outcome) implements RequestEvent {
	}

	/**
	 * Raised by the order part: the request may be sent now. If it is an order, its key
	 * is claimed.
	 *
	 * @param request the request
	 * @param idempotency how often it may be sent
	 */
	record Cleared(RequestDescription request, Idempotency idempotency) implements RequestEvent {
	}

	/**
	 * The first token of an attempt arrived.
	 *
	 * @param attempt the attempt
	 */
	record FirstToken(AttemptIdentifier attempt) implements RequestEvent {
	}

	/**
	 * An attempt ended.
	 *
	 * @param attempt the attempt
	 * @param deliveredTokens number of the request's tokens delivered to the caller so
	 * far, over all attempts
	 * @param result result of the attempt
	 */
	record AttemptEnded(AttemptIdentifier attempt, int deliveredTokens, AttemptResult result) implements RequestEvent {
	}

	/**
	 * Raised by the request part: an attempt was sent.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param target the target to which it was sent
	 */
	record AttemptStarted(RequestDescription request, AttemptIdentifier attempt,
			ServingTarget target) implements RequestEvent {
	}

	/**
	 * Raised by the request part: an attempt is over, whatever its result.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param target the target on which it ran
	 * @param result result of the attempt
	 */
	record AttemptClosed(RequestDescription request, AttemptIdentifier attempt, ServingTarget target,
			AttemptResult result) implements RequestEvent {
	}

	/**
	 * Raised by the request part: the request has its final outcome.
	 *
	 * @param request the request
	 * @param idempotency how often the request could be sent
	 * @param outcome the outcome
	 * @param tokens number of delivered tokens
	 * @param answer answer to record for an order
	 */
	record Finished(RequestDescription request, Idempotency idempotency, RequestOutcome outcome, int tokens,
			Optional<RecordedAnswer> answer) implements RequestEvent {
	}

	/**
	 * Raised by the quarantine part: a target seems to have crashed while it ran
	 * requests.
	 *
	 * @param target the target
	 * @param running fingerprints of this node's requests that it ran
	 */
	record TargetDied(ServingTarget target, List<Fingerprint> running) implements RequestEvent {
	}

	/**
	 * Raised by the request reducer after the other reducers have handled the end of an
	 * attempt: a further attempt is due.
	 *
	 * @param request the request
	 */
	record AttemptDue(RequestIdentifier request) implements RequestEvent {
	}

	/**
	 * Raised by the request part: the content is suspected of crashing targets and has to
	 * run on a target without other suspects.
	 *
	 * @param request the request
	 * @param excluded targets on which it has already failed
	 */
	record IsolationWanted(RequestDescription request, Set<TargetName> excluded) implements RequestEvent {
	}

	/**
	 * Raised by the quarantine part: a suspected request may run on a target. No other
	 * suspect runs there meanwhile.
	 *
	 * @param request the request
	 * @param target the target
	 */
	record IsolationGranted(RequestIdentifier request, ServingTarget target) implements RequestEvent {
	}

}
