package sycamorehill.logic.quarantine;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * A target that lost connections and may have crashed.
 *
 * @param target the target
 * @param since the monotonic time at which the first connection was lost
 * @param contents the content that the target ran
 * @param settled whether the crash is confirmed; connections lost later belong to the
 * same crash
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
