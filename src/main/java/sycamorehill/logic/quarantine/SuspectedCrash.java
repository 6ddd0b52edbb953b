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
record SuspectedCrash(ServingTarget target, Instant since, PMap<Fingerprint, InterruptedContent> contents,
		boolean settled) {

	static SuspectedCrash of(ServingTarget target, Instant now) {
		return new SuspectedCrash(target, now, HashTreePMap.empty(), false);
	}

	SuspectedCrash withContent(Fingerprint fingerprint, InterruptedContent content) {
		return new SuspectedCrash(this.target, this.since, this.contents.plus(fingerprint, content), this.settled);
	}

	SuspectedCrash asSettled() {
		return new SuspectedCrash(this.target, this.since, this.contents, true);
	}

}
