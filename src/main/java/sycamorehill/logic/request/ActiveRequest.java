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
 * @param begun whether the caller has got a first token
 * @param callerGone whether the caller has gone; an order runs to its end nevertheless
 * @param isolated whether it has waited to run where no other suspect runs
 * @param giveUpAt until when it waits for a target
 * @param wakeAt when it is looked at again, if no event comes before
 */
public record ActiveRequest(RequestDescription description, Optional<Handling> handling,
		Optional<RunningAttempt> running, AttemptHistory history, boolean begun, boolean callerGone, boolean isolated,
		Instant giveUpAt, Optional<Instant> wakeAt) {

	static ActiveRequest arrived(RequestDescription description) {
		return new ActiveRequest(description, Optional.empty(), Optional.empty(), AttemptHistory.none(), false, false,
				false, description.deadline(), Optional.empty());
	}

	RequestIdentifier identifier() {
		return this.description.identifier();
	}

	boolean repeatable() {
		return this.handling.equals(Optional.of(Handling.REPEATABLE));
	}

	ActiveRequest cleared(Handling how, Instant until) {
		return new ActiveRequest(this.description, Optional.of(how), this.running, this.history, this.begun,
				this.callerGone, this.isolated, until, this.wakeAt);
	}

	ActiveRequest started(RunningAttempt attempt) {
		return new ActiveRequest(this.description, this.handling, Optional.of(attempt), this.history.begun(),
				this.begun, this.callerGone, this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest ended(AttemptHistory longer) {
		return new ActiveRequest(this.description, this.handling, Optional.empty(), longer,
				this.begun || longer.tokens() > 0, this.callerGone, this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withBegun() {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, true, this.callerGone,
				this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withCallerGone() {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begun, true,
				this.isolated, this.giveUpAt, this.wakeAt);
	}

	ActiveRequest withGiveUpAt(Instant until) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begun,
				this.callerGone, false, until, this.wakeAt);
	}

	ActiveRequest withWakeAt(Optional<Instant> at) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begun,
				this.callerGone, this.isolated, this.giveUpAt, at);
	}

	ActiveRequest withIsolation(Instant until) {
		return new ActiveRequest(this.description, this.handling, this.running, this.history, this.begun,
				this.callerGone, true, until, this.wakeAt);
	}

}
