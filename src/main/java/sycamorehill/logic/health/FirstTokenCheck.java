package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.identity.AttemptIdentifier;

/**
 * Scheduled check of an attempt that waits for its first token.
 *
 * @param at the monotonic time of the check
 * @param attempt the attempt, started by the current incarnation of the node
 */
record FirstTokenCheck(Instant at, AttemptIdentifier attempt) implements Comparable<FirstTokenCheck> {

	private static final Comparator<FirstTokenCheck> ORDER = Comparator.comparing(FirstTokenCheck::at)
		.thenComparingLong((check) -> check.attempt().number());

	@Override
	public int compareTo(FirstTokenCheck other) {
		return ORDER.compare(this, other);
	}

}
