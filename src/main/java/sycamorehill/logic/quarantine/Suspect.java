package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.TargetName;

/**
 * Crashes of targets that ran the same content.
 *
 * @param deaths the monotonic time of this node at which it learned of the crash, by
 * target
 */
record Suspect(PMap<TargetName, Instant> deaths) {

	static Suspect withoutCrashes() {
		return new Suspect(HashTreePMap.empty());
	}

	/**
	 * Returns the suspect with a crash added, unless the crash is already recorded. The
	 * same crash is reported several times. Recording a later time would make it appear
	 * to have happened after the content's next attempt.
	 * @param target the target
	 * @param at the time at which this node learned of the crash
	 * @param sameCrashPeriod the maximum time between two reports of the same crash
	 * @return the suspect with the crash
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
