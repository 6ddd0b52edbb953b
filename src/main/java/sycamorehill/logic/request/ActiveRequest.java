package sycamorehill.logic.request;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.Handling;
import sycamorehill.model.request.RequestDescription;

/**
 * A request that has no final answer yet.
 *
 * @param description the request
 * @param handling how often it may be sent, once it has been cleared
 * @param running the attempt under way, if any
 * @param history the attempts that have ended
 * @param begunWith the model version that gave the first token, once the caller has one:
 * the rest of the answer must come from the same
 * @param callerGone whether the caller has gone; an order runs to its end nevertheless
 * @param isolated whether it has waited to run where no other suspect runs
 * @param giveUpAt until when it waits for a target
 * @param wakeAt when it is looked at again, if no event comes before
 */
public record ActiveRequest(RequestDescription description, Optional<Handling> handling,
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
		return this.handling.equals(Optional.of(Handling.REPEATABLE));
	}

	ActiveRequest withClearance(Handling idempotency, Instant until) {
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
