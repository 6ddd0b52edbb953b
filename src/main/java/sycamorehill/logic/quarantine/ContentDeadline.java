package sycamorehill.logic.quarantine;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.request.Fingerprint;

/**
 * When something about content is forgotten.
 *
 * @param at the time
 * @param fingerprint the content
 */
record ContentDeadline(Instant at, Fingerprint fingerprint) implements Comparable<ContentDeadline> {

	private static final Comparator<ContentDeadline> ORDER = Comparator.comparing(ContentDeadline::at)
		.thenComparing((deadline) -> deadline.fingerprint().value());

	@Override
	public int compareTo(ContentDeadline other) {
		return ORDER.compare(this, other);
	}

}
