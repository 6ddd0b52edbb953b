package sycamorehill.logic.quarantine;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.request.Fingerprint;

/**
 * Map from content to a value that expires. When the map is full, the entry that expires
 * first is removed.
 *
 * @param <V> the type of the values
 * @param entries the entries by content
 * @param byTime the content in order of expiry
 */
record ExpiringContentMap<V>(PMap<Fingerprint, Entry<V>> entries, PSortedSet<ContentExpiry> byTime) {

	static <V> ExpiringContentMap<V> empty() {
		return new ExpiringContentMap<>(HashTreePMap.empty(), TreePSet.empty());
	}

	Optional<V> get(Fingerprint fingerprint, Instant now) {
		return Optional.ofNullable(this.entries.get(fingerprint))
			.filter((entry) -> now.isBefore(entry.until()))
			.map(Entry::value);
	}

	ExpiringContentMap<V> with(Fingerprint fingerprint, V value, Instant until, int maximumEntries) {
		ExpiringContentMap<V> cleared = without(fingerprint);
		if (cleared.entries.size() >= maximumEntries) {
			cleared = cleared.without(cleared.byTime.first().fingerprint());
		}
		return new ExpiringContentMap<>(cleared.entries.plus(fingerprint, new Entry<>(value, until)),
				cleared.byTime.plus(new ContentExpiry(until, fingerprint)));
	}

	ExpiringContentMap<V> without(Fingerprint fingerprint) {
		Entry<V> old = this.entries.get(fingerprint);
		if (old == null) {
			return this;
		}
		return new ExpiringContentMap<>(this.entries.minus(fingerprint),
				this.byTime.minus(new ContentExpiry(old.until(), fingerprint)));
	}

	ExpiringContentMap<V> withoutExpired(Instant now) {
		ExpiringContentMap<V> kept = this;
		while (!kept.byTime.isEmpty() && !now.isBefore(kept.byTime.first().at())) {
			kept = kept.without(kept.byTime.first().fingerprint());
		}
		return kept;
	}

	/**
	 * A value and its expiry.
	 *
	 * @param <V> the type of the value
	 * @param value the value
	 * @param until the monotonic time at which the entry expires
	 */
	record Entry<V>(V value, Instant until) {

	}

}
