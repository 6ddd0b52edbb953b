package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.TargetName;

/**
 * Content that targets ran when they died.
 *
 * @param deaths when this node heard of the death of each target, own monotonic time
 */
record Suspect(PMap<TargetName, Instant> deaths) {

	static Suspect withoutCrashes() {
		return new Suspect(HashTreePMap.empty());
	}

	/**
	 * Adds a death, unless it is known already: the same death is told several times, and
	 * a later time would make it look as if it came after the content's next run.
	 * @param target the target
	 * @param at when this node heard of it
	 * @param sameCrashPeriod how far apart two words about one death may be
	 * @return the suspect with it
	 */
	Suspect withCrash(TargetName target, Instant at, Duration sameCrashPeriod) {
		Instant recorded = this.deaths.get(target);
		if (recorded != null && at.isBefore(recorded.plus(sameCrashPeriod))) {
			return this;
		}
		return new Suspect(this.deaths.plus(target, at));
	}

	Suspect withoutCrash(TargetName target) {
		return new Suspect(this.deaths.minus(target));
	}

	boolean hasCrashedBefore(Instant time) {
		return this.deaths.values().stream().anyMatch((at) -> at.isBefore(time));
	}

}
