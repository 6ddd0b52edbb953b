package sycamorehill.logic.request;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;

/**
 * A request without a final answer.
 *
 * @param description the request
 * @param handling whether and how the request may be repeated, known once it is cleared
 * for sending
 * @param running the running attempt, if any
 * @param history the results of the ended attempts
 * @param begunWith the model version that generated the first token, once the caller has
 * received one; the rest of the answer must come from the same version
 * @param callerGone whether the caller has disconnected; an order runs to its end
 * nevertheless
 * @param isolated whether the wait for a target without other suspects has started since
 * the last attempt
 * @param giveUpAt the monotonic time until which the request waits for a target
 * @param wakeAt the monotonic time of the next check of the request, unless an event
 * comes first
 */
public record ActiveRequest(RequestDescription description, Optional<Idempotency> handling,
		Optional<RunningAttempt> running, AttemptHistory history, Optional<String> begunWith, boolean callerGone,
		boolean isolated, Instant giveUpAt, Optional<Instant> wakeAt) {

	static ActiveRequest create(RequestDescription description) {
		return new ActiveRequest(description, Optional.empty(), Optional.empty(), AttemptHistory.empty(),
				Optional.empty(), false, false, description.deadline(), Optional.empty());
	}

	RequestIdentifier identifier() {
		return this.description.identifier();
	}

	boolean hasBegun() {
		return this.begunWith.isPresent();
	}

	private Optional<String> modelVersion() {
		return hasBegun() ? this.begunWith : this.running.map((attempt) -> attempt.target().modelVersion());
	}

	boolean isIdempotent() {
		return this.handling.equals(Optional.of(Idempotency.REPEATABLE));
	}

	ActiveRequest withClearance(Idempotency idempotency, Instant until) {
		return new ActiveRequest(this.description, Optional.of(idempotency), this.running, this.history, this.begunWith,
				this.callerGone, this.isolated, until, this.wakeAt);
	}

	ActiveRequest withAttemptStarted(RunningAttempt attempt) {
		return new ActiveRequest(this.description, this.handling, Optional.of(attempt),
				this.history.withAttemptStarted(), this.begunWith, this.callerGone, this.isolated, this.giveUpAt,
				this.wakeAt);
	}

	ActiveRequest withAttemptEnded(AttemptHistory newHistory) {
		return new ActiveRequest(this.description, this.handling, Optional.empty(), newHistory,
				(newHistory.tokens() > 0) ? modelVersion() : this.begunWith, this.callerGone, this.isolated,
				this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withBegun() {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, modelVersion(),
				this.callerGone, this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withCallerGone() {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begunWith, true,
				this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withGiveUpAt(Instant until) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begunWith,
				this.callerGone, false, until, this.wakeAt);
	}

	ActiveRequest withWakeAt(Optional<Instant> at) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begunWith,
				this.callerGone, this.isolated, this.giveUpAt, at);
	}

	ActiveRequest withIsolation(Instant until) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begunWith,
				this.callerGone, true, until, this.wakeAt);
	}

}
