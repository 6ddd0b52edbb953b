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
 * Tracks since when engines have been free.
 */
final class FreeEngines {

	/**
	 * Time that an engine must have been free before its weights may be replaced. Between
	 * two commands, or until a change is visible in the directory, an engine seems free
	 * for a moment.
	 */
	private static final Duration MINIMUM_IDLE_TIME = Duration.ofSeconds(1);

	private final Map<TargetName, Instant> freeSince = new HashMap<>();

	private FreeEngines() {
	}

	static FreeEngines create() {
		return new FreeEngines();
	}

	void clear() {
		this.freeSince.clear();
	}

	void update(List<TargetEntry> free, Instant now) {
		Set<TargetName> names = free.stream().map(TargetEntry::name).collect(Collectors.toSet());
		this.freeSince.keySet().retainAll(names);
		names.forEach((name) -> this.freeSince.putIfAbsent(name, now));
	}

	boolean isReassignable(TargetEntry engine, Instant now) {
		Instant since = this.freeSince.get(engine.name());
		return since != null && now.isAfter(since.plus(MINIMUM_IDLE_TIME));
	}

}
