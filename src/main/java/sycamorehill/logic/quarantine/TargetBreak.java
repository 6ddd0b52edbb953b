package sycamorehill.logic.quarantine;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * A target whose connections were lost and that may have died.
 *
 * @param target the target
 * @param since when the first connection was lost
 * @param contents what it ran
 * @param settled whether its death is certain enough: what breaks later belongs to it
 */
record TargetBreak(ServingTarget target, Instant since, PMap<Fingerprint, BrokenContent> contents, boolean settled) {

	static TargetBreak of(ServingTarget target, Instant now) {
		return new TargetBreak(target, now, HashTreePMap.empty(), false);
	}

	TargetBreak with(Fingerprint fingerprint, BrokenContent content) {
		return new TargetBreak(this.target, this.since, this.contents.plus(fingerprint, content), this.settled);
	}

	TargetBreak asSettled() {
		return new TargetBreak(this.target, this.since, this.contents, true);
	}

}
