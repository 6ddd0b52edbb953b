package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.directory.GroupKey;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Tracks one attempt of a request, at a target or through another node.
 */
final class AttemptState {

	private final int number;

	private final Instant startedAt;

	/** Tracks whether the attempt has arrived at its target. */
	private final Transit transit;

	/** Time to the first answer that was expected when the attempt was started. */
	private final Duration expectedFirstAnswer;

	private final Optional<TargetIncarnation> incarnation;

	/** The group of the target when the attempt started. */
	private final Optional<GroupKey> group;

	private Optional<TargetName> target = Optional.empty();

	private Optional<String> proxy = Optional.empty();

	private Optional<Instant> answeredAt = Optional.empty();

	private boolean foundSound;

	private boolean stalled;

	private AttemptState(int number, Instant startedAt, Transit transit, Duration expectedFirstAnswer,
			Optional<TargetIncarnation> incarnation, Optional<GroupKey> group) {
		this.number = number;
		this.startedAt = startedAt;
		this.transit = transit;
		this.expectedFirstAnswer = expectedFirstAnswer;
		this.incarnation = incarnation;
		this.group = group;
	}

	/**
	 * Creates the state of a request that has not been sent.
	 * @return the state
	 */
	static AttemptState none() {
		return new AttemptState(0, Instant.MIN, Transit.startedAt(Instant.MIN), Duration.ZERO, Optional.empty(),
				Optional.empty());
	}

	/**
	 * Creates the state of an attempt at a target.
	 * @param number number of the attempt
	 * @param chosen the target
	 * @param firstAnswer expected time to the first answer
	 * @param now the current time
	 * @return the state
	 */
	static AttemptState at(int number, TargetEntry chosen, Duration firstAnswer, Instant now) {
		AttemptState state = new AttemptState(number, now, Transit.startedAt(now), firstAnswer,
				Optional.of(TargetIncarnation.of(chosen)), chosen.membership().map(GroupKey::of));
		state.target = Optional.of(chosen.name());
		return state;
	}

	/**
	 * Creates the state of an attempt through another node.
	 * @param number number of the attempt
	 * @param node the node
	 * @param last the last attempt
	 * @param now the current time
	 * @return the state
	 */
	static AttemptState through(int number, String node, AttemptState last, Instant now) {
		AttemptState state = new AttemptState(number, now, last.transit, last.expectedFirstAnswer, last.incarnation,
				last.group);
		state.proxy = Optional.of(node);
		return state;
	}

	int number() {
		return this.number;
	}

	Instant startedAt() {
		return this.startedAt;
	}

	Transit transit() {
		return this.transit;
	}

	Duration expectedFirstAnswer() {
		return this.expectedFirstAnswer;
	}

	Optional<TargetIncarnation> incarnation() {
		return this.incarnation;
	}

	Optional<GroupKey> group() {
		return this.group;
	}

	Optional<TargetName> target() {
		return this.target;
	}

	Optional<String> proxy() {
		return this.proxy;
	}

	Optional<Instant> answeredAt() {
		return this.answeredAt;
	}

	boolean isFoundSound() {
		return this.foundSound;
	}

	/**
	 * Returns whether the attempt's target or node had stopped sending when another
	 * attempt was started beside it.
	 * @return true if it had
	 */
	boolean isStalled() {
		return this.stalled;
	}

	/**
	 * Returns where the attempt is made.
	 * @return the place
	 */
	AttemptPlace place() {
		return new AttemptPlace(this.target, this.proxy);
	}

	void end() {
		this.target = Optional.empty();
		this.proxy = Optional.empty();
	}

	void markAnswered(Instant now) {
		this.answeredAt = Optional.of(now);
	}

	void markFoundSound() {
		this.foundSound = true;
	}

	void setStalled(boolean stalled) {
		this.stalled = stalled;
	}

}
