package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.dispatch.CountedNodes;

/**
 * Determines the nodes among which the requests that cold targets may receive are
 * divided, and whether this node is counted by all of them.
 *
 * A new process may use its shares only when a window has passed since all others have
 * confirmed that they count it. Until then, requests may still arrive that the previous
 * process of this node sent, or the others while they divided by fewer nodes.
 */
final class ColdTargetShares {

	/**
	 * The second in which the requests of a cold target are limited, and the longest time
	 * that a request takes to arrive, with a lost packet.
	 */
	private static final Duration WINDOW = Duration.ofSeconds(2);

	private final RegisteredNodes nodes;

	private boolean stopping;

	private ColdTargetShares(RegisteredNodes nodes) {
		this.nodes = nodes;
	}

	static ColdTargetShares of(RegisteredNodes nodes) {
		return new ColdTargetShares(nodes);
	}

	/**
	 * Gives up this node's shares, because it deregisters and the others then divide the
	 * requests without it.
	 */
	void stop() {
		this.stopping = true;
	}

	/**
	 * Returns the nodes that share cold targets.
	 * @param now the current time
	 * @return the nodes
	 */
	CountedNodes countedNodes(Instant now) {
		Instant windowStart = now.minus(WINDOW);
		boolean counted = !this.stopping && this.nodes.isListValid(now)
				&& this.nodes.countedSince().filter((since) -> !since.isAfter(windowStart)).isPresent();
		return new CountedNodes(this.nodes.countedNames(windowStart), counted);
	}

}
