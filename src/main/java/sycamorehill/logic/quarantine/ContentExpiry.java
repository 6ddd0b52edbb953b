package sycamorehill.logic.quarantine;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.request.Fingerprint;

/**
 * Time at which an entry for some content expires.
 *
 * @param at the monotonic time
 * @param fingerprint the fingerprint of the content
 */
record ContentExpiry(Instant at, Fingerprint fingerprint) implements Comparable<ContentExpiry> {

	private static final Comparator<ContentExpiry> ORDER = Comparator.comparing(ContentExpiry::at)
		.thenComparing((deadline) -> deadline.fingerprint().value());

	@Override
	public int compareTo(ContentExpiry other) {
		return ORDER.compare(this, other);
	}

}
