package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.dispatch.RetryShare;
import sycamorehill.model.serving.EntrySettings;

/**
 * Determines this node's share of the retries that all nodes together may send to a
 * service beyond the ratio of its requests.
 *
 * A new process gets none until all other nodes count it and a window has passed since:
 * the process that ran before on this node may have spent the share just before it ended,
 * and the others may have spent theirs while they were larger.
 */
final class RetryShares {

	/** Longest time that a retry takes to arrive, with a lost packet. */
	private static final Duration MAXIMUM_TRANSIT_TIME = Duration.ofSeconds(1);

	private final RegisteredNodes nodes;

	private EntrySettings settings;

	private boolean stopping;

	private RetryShares(EntrySettings settings, RegisteredNodes nodes) {
		this.settings = settings;
		this.nodes = nodes;
	}

	static RetryShares of(EntrySettings settings, RegisteredNodes nodes) {
		return new RetryShares(settings, nodes);
	}

	void updateSettings(EntrySettings newSettings) {
		this.settings = newSettings;
	}

	/**
	 * Gives the share up: this node deregisters, and the others then divide without it.
	 */
	void stop() {
		this.stopping = true;
	}

	/**
	 * Returns this node's share.
	 * @param now the current time
	 * @return the share
	 */
	RetryShare share(Instant now) {
		Instant windowStart = now.minus(this.settings.retryWindow()).minus(MAXIMUM_TRANSIT_TIME);
		RegisteredNodes.Place place = this.nodes.place(windowStart);
		boolean held = !this.stopping && this.nodes.isListValid(now)
				&& this.nodes.countedSince().filter((since) -> !since.isAfter(windowStart)).isPresent();
		return new RetryShare(held ? wholeShare(place) : 0, place.nodes(), this.nodes.countUnconfirmed());
	}

	// The retries that are left over when all nodes get the same number go to the first
	// nodes by name. Fractions of a retry would be of no use to any node.
	private int wholeShare(RegisteredNodes.Place place) {
		int retries = (int) this.settings.retryAllowance();
		int rest = retries % place.nodes();
		return retries / place.nodes() + ((place.before() < rest) ? 1 : 0);
	}

}
