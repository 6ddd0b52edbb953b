package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.target.ServingTarget;

/**
 * Health of one generation of a target, as observed by this node.
 *
 * @param service the service that the target serves
 * @param generation the generation of the target's group, 0 for a plain service
 * @param inFlight the number of running attempts of this node
 * @param connectionFailures the number of consecutive connections refused, lost or
 * stalled
 * @param runFailures the number of consecutive requests that failed while running
 * @param timesAside the number of consecutive ejections
 * @param aside the latest ejection, if any
 * @param allowance the maximum number of concurrent attempts while the target returns
 * from an ejection or starts a new generation, empty if unlimited
 * @param firstTokens the average time to first token
 * @param usedAt the time at which the last attempt was sent
 */
record TargetHealth(ServiceName service, long generation, int inFlight, int connectionFailures, int runFailures,
		int timesAside, Optional<Ejection> aside, Optional<Integer> allowance, FirstTokenTimes firstTokens,
		Instant usedAt) {

	static TargetHealth trusted(ServingTarget target, Instant now) {
		return new TargetHealth(target.service(), generationOf(target), 0, 0, 0, 0, Optional.empty(), Optional.empty(),
				FirstTokenTimes.empty(), now);
	}

	static long generationOf(ServingTarget target) {
		return target.group().map((group) -> group.generation()).orElse(0L);
	}

	boolean isEjected(Instant now) {
		return this.aside.filter((ejection) -> now.isBefore(ejection.until())).isPresent();
	}

	boolean isAllowanceExhausted() {
		return this.allowance.filter((maximum) -> this.inFlight >= maximum).isPresent();
	}

	TargetHealth withAttemptStarted(Instant now) {
		return new TargetHealth(this.service, this.generation, this.inFlight + 1, this.connectionFailures,
				this.runFailures, this.timesAside, this.aside, this.allowance, this.firstTokens, now);
	}

	TargetHealth withAttemptClosed() {
		return new TargetHealth(this.service, this.generation, Math.max(0, this.inFlight - 1), this.connectionFailures,
				this.runFailures, this.timesAside, this.aside, this.allowance, this.firstTokens, this.usedAt);
	}

	/**
	 * Returns the health after a complete answer. The allowance of a returning target
	 * doubles until it reaches the full allowance; the target is then unlimited again.
	 * @param fullAllowance the allowance at which the limit is lifted
	 * @return the new health
	 */
	TargetHealth withSuccess(int fullAllowance) {
		Optional<Integer> larger = this.allowance.map((maximum) -> maximum * 2)
			.filter((maximum) -> maximum < fullAllowance);
		return new TargetHealth(this.service, this.generation, this.inFlight, 0, 0,
				larger.isPresent() ? this.timesAside : 0, this.aside, larger, this.firstTokens, this.usedAt);
	}

	TargetHealth withConnectionFailure() {
		return new TargetHealth(this.service, this.generation, this.inFlight, this.connectionFailures + 1,
				this.runFailures, this.timesAside, this.aside, this.allowance, this.firstTokens, this.usedAt);
	}

	TargetHealth withRunFailure() {
		return new TargetHealth(this.service, this.generation, this.inFlight, this.connectionFailures,
				this.runFailures + 1, this.timesAside, this.aside, this.allowance, this.firstTokens, this.usedAt);
	}

	/**
	 * Returns the health after an ejection. When the ejection ends, the target starts
	 * with a small allowance and its time to first token is measured from scratch.
	 * @param ejection the ejection
	 * @param returnAllowance the allowance after the ejection
	 * @return the new health
	 */
	TargetHealth withEjection(Ejection ejection, int returnAllowance) {
		return new TargetHealth(this.service, this.generation, this.inFlight, 0, 0, this.timesAside + 1,
				Optional.of(ejection), Optional.of(returnAllowance), FirstTokenTimes.empty(), this.usedAt);
	}

	/**
	 * Returns the health of a new generation under the same name. The history of the old
	 * generation is discarded. The new one starts with a small allowance, because its
	 * caches are empty.
	 * @param newGeneration the new generation
	 * @param returnAllowance the allowance of the new generation
	 * @return the health of the new generation
	 */
	TargetHealth forNewGeneration(long newGeneration, int returnAllowance) {
		return new TargetHealth(this.service, newGeneration, 0, 0, 0, 0, Optional.empty(), Optional.of(returnAllowance),
				FirstTokenTimes.empty(), this.usedAt);
	}

	TargetHealth withFirstTokens(FirstTokenTimes times) {
		return new TargetHealth(this.service, this.generation, this.inFlight, this.connectionFailures, this.runFailures,
				this.timesAside, this.aside, this.allowance, times, this.usedAt);
	}

}
