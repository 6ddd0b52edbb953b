package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;

/**
 * Remembers since when engines are free.
 */
final class FreeEngines {

	/**
	 * An engine gives up the weights that it holds only after it was free for so long:
	 * between two orders, or until a change shows, it is free for a moment.
	 */
	private static final Duration SETTLED_AFTER = Duration.ofSeconds(1);

	private final Map<TargetName, Instant> since = new HashMap<>();

	private FreeEngines() {
	}

	static FreeEngines create() {
		return new FreeEngines();
	}

	void clear() {
		this.since.clear();
	}

	void look(List<TargetEntry> free, Instant now) {
		Set<TargetName> names = free.stream().map(TargetEntry::name).collect(Collectors.toSet());
		this.since.keySet().retainAll(names);
		names.forEach((name) -> this.since.putIfAbsent(name, now));
	}

	boolean settled(TargetEntry engine, Instant now) {
		Instant known = this.since.get(engine.name());
		return known != null && now.isAfter(known.plus(SETTLED_AFTER));
	}

}
