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
	 * A caller's request has been read whole.
	 *
	 * @param request the request
	 */
	record Arrived(RequestDescription request) implements RequestEvent {
	}

	/**
	 * The caller closed its connection or gave up.
	 *
	 * @param request its request
	 */
	record CallerGone(RequestIdentifier request) implements RequestEvent {
	}

	/**
	 * Raised by admission: the request may be sent.
	 *
	 * @param request the request
	 * @param handling how often it may be sent
	 */
	record Admitted(RequestDescription request, Idempotency handling) implements RequestEvent {
	}

	/**
	 * Raised by any part: the request was not run and gets its final answer.
	 *
	 * @param request the request
	 * @param outcome what the caller hears
	 */
	record Refused(RequestIdentifier request, RequestOutcome outcome) implements RequestEvent {
	}

	/**
	 * Raised by the orders: the request may be sent now, an order as claimed.
	 *
	 * @param request the request
	 * @param handling how often it may be sent
	 */
	record Cleared(RequestDescription request, Idempotency handling) implements RequestEvent {
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
	 * @param deliveredTokens tokens of the request delivered to the caller so far, over
	 * all attempts
	 * @param result how it ended
	 */
	record AttemptEnded(AttemptIdentifier attempt, int deliveredTokens, AttemptResult result) implements RequestEvent {
	}

	/**
	 * Raised by the request part: an attempt was sent.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param target where it was sent
	 */
	record AttemptStarted(RequestDescription request, AttemptIdentifier attempt,
			ServingTarget target) implements RequestEvent {
	}

	/**
	 * Raised by the request part: an attempt is over, whatever its end.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param target where it ran
	 * @param result how it ended
	 */
	record AttemptClosed(RequestDescription request, AttemptIdentifier attempt, ServingTarget target,
			AttemptResult result) implements RequestEvent {
	}

	/**
	 * Raised by the request part: the request has its final outcome.
	 *
	 * @param request the request
	 * @param handling how it was handled
	 * @param outcome the outcome
	 * @param tokens tokens delivered
	 * @param answer the answer to record for an order
	 */
	record Finished(RequestDescription request, Idempotency handling, RequestOutcome outcome, int tokens,
			Optional<RecordedAnswer> answer) implements RequestEvent {
	}

	/**
	 * Raised by the request part: a target seems to have died while it ran requests.
	 *
	 * @param target the target
	 * @param running what it ran for this node
	 */
	record TargetDied(ServingTarget target, List<Fingerprint> running) implements RequestEvent {
	}

	/**
	 * Raised by the request part after the other parts have taken the end of an attempt
	 * in: a further attempt is due.
	 *
	 * @param request the request
	 */
	record AttemptDue(RequestIdentifier request) implements RequestEvent {
	}

	/**
	 * Raised by the request part: the content is suspected of crashing targets and is to
	 * run where no other suspect runs.
	 *
	 * @param request the request
	 * @param excluded targets that have already failed it
	 */
	record IsolationWanted(RequestDescription request, Set<TargetName> excluded) implements RequestEvent {
	}

	/**
	 * Raised by the quarantine part: a suspected request may run on a target, on which no
	 * other suspect runs meanwhile.
	 *
	 * @param request the request
	 * @param target the target
	 */
	record IsolationGranted(RequestIdentifier request, ServingTarget target) implements RequestEvent {
	}

}
