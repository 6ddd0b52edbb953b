package sycamorehill.logic.health;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.identity.AttemptIdentifier;

/**
 * When an attempt that waits for its first token is looked at.
 *
 * @param at the time
 * @param attempt the attempt, of this life of the node
 */
record FirstTokenCheck(Instant at, AttemptIdentifier attempt) implements Comparable<FirstTokenCheck> {

	private static final Comparator<FirstTokenCheck> ORDER = Comparator.comparing(FirstTokenCheck::at)
		.thenComparingLong((check) -> check.attempt().number());

	@Override
	public int compareTo(FirstTokenCheck other) {
		return ORDER.compare(this, other);
	}

}
