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

	static Suspect none() {
		return new Suspect(HashTreePMap.empty());
	}

	/**
	 * Adds a death, unless it is known already: the same death is told several times, and
	 * a later time would make it look as if it came after the content's next run.
	 * @param target the target
	 * @param at when this node heard of it
	 * @param sameDeath how far apart two words about one death may be
	 * @return the suspect with it
	 */
	Suspect with(TargetName target, Instant at, Duration sameDeath) {
		Instant known = this.deaths.get(target);
		if (known != null && at.isBefore(known.plus(sameDeath))) {
			return this;
		}
		return new Suspect(this.deaths.plus(target, at));
	}

	Suspect without(TargetName target) {
		return new Suspect(this.deaths.minus(target));
	}

	boolean diedBefore(Instant time) {
		return this.deaths.values().stream().anyMatch((at) -> at.isBefore(time));
	}

}
