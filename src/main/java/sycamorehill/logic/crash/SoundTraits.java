package sycamorehill.logic.crash;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.model.serving.RequestTrait;

/**
 * Remembers when requests with a property were last run without a crash. What is known of
 * a loss may arrive after the answer that shows that a property did not cause it.
 */
final class SoundTraits {

	/** Maximum number of contents kept; most come only once. */
	private static final int MAXIMUM_CONTENTS = 1_000;

	/** Maximum number of parts of prompts kept. */
	private static final int MAXIMUM_PROMPT_PARTS = 10_000;

	private final Map<RequestTrait, Instant> contents = leastRecentlySound(MAXIMUM_CONTENTS);

	private final Map<RequestTrait, Instant> promptParts = leastRecentlySound(MAXIMUM_PROMPT_PARTS);

	private SoundTraits() {
	}

	static SoundTraits create() {
		return new SoundTraits();
	}

	private static Map<RequestTrait, Instant> leastRecentlySound(int maximumSize) {
		return new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<RequestTrait, Instant> eldest) {
				return size() > maximumSize;
			}

		};
	}

	private Map<RequestTrait, Instant> all(RequestTrait trait) {
		return (trait.kind() == RequestTrait.Kind.CONTENT) ? this.contents : this.promptParts;
	}

	/**
	 * Records that requests with some properties were run without a crash.
	 * @param traits the properties
	 * @param at when their targets began to run them, at the earliest
	 */
	void record(Set<RequestTrait> traits, Instant at) {
		traits.forEach((trait) -> all(trait).merge(trait, at, (one, other) -> one.isAfter(other) ? one : other));
	}

	/**
	 * Returns when requests with a property were last run without a crash.
	 * @param trait the property
	 * @return the time; empty if none is remembered
	 */
	Optional<Instant> soundAt(RequestTrait trait) {
		return Optional.ofNullable(all(trait).get(trait));
	}

	/**
	 * Removes the properties of a lost run that were sound later.
	 * @param run the run
	 * @return the run with the properties that may have crashed the target
	 */
	LostRun removeSound(LostRun run) {
		return run.without(run.traits()
			.stream()
			.filter((trait) -> soundAt(trait).filter((at) -> !at.isBefore(run.lostAt())).isPresent())
			.collect(Collectors.toSet()));
	}

}
