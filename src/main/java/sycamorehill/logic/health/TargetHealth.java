package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.target.ServingTarget;

/**
 * What this node has seen of one generation of a target.
 *
 * @param service what it answers
 * @param generation the generation of its group, 0 for a plain service
 * @param inFlight attempts of this node under way
 * @param connectionFailures connections refused, lost or stalled in a row
 * @param runFailures failed requests in a row
 * @param timesAside how often in a row it was put aside
 * @param aside the mark, if it is put aside
 * @param allowance most attempts in flight, empty once it is trusted
 * @param firstTokens its times to the first token
 * @param usedAt when an attempt was last sent to it
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
	 * A whole answer: a returning target may take twice as many, up to where it is like
	 * any other.
	 * @param fullAllowance where that is
	 * @return the health after it
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
	 * Puts the target aside. When the time is over it begins with little, and its speed
	 * is measured anew.
	 * @param ejection why and until when
	 * @param returnAllowance what it begins with
	 * @return the health after it
	 */
	TargetHealth withEjection(Ejection ejection, int returnAllowance) {
		return new TargetHealth(this.service, this.generation, this.inFlight, 0, 0, this.timesAside + 1,
				Optional.of(ejection), Optional.of(returnAllowance), FirstTokenTimes.empty(), this.usedAt);
	}

	/**
	 * A new generation under the same name: nothing of the old one counts, and it begins
	 * with little, as its caches are empty.
	 * @param newGeneration the generation
	 * @param returnAllowance what it begins with
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
