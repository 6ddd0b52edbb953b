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
record ContentExpiry(Instant at, Fingerprint fingerprint) implements Comparable<ContentExpiry> {

	private static final Comparator<ContentExpiry> ORDER = Comparator.comparing(ContentExpiry::at)
		.thenComparing((deadline) -> deadline.fingerprint().value());

	@Override
	public int compareTo(ContentExpiry other) {
		return ORDER.compare(this, other);
	}

}
