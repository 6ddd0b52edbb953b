package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.dispatch.RetryShare;
import sycamorehill.model.serving.EntrySettings;

/**
 * Determines this node's share of the retries that all nodes together may send to a
 * service beyond the ratio of its requests.
 *
 * A new process gets none until a window has passed: the process that ran before on this
 * node may have spent the share just before it ended.
 */
final class RetryShares {

	/**
	 * Share of the allowance that is used: nodes learn of each other with a delay, and
	 * arrivals that were cancelled on the way count too.
	 */
	private static final double USED_ALLOWANCE_SHARE = 0.7;

	/**
	 * Minimum number of nodes that is assumed in each data centre: a node that has just
	 * started knows no other node yet, and all may start at once.
	 */
	private static final int MINIMUM_NODES_PER_DATA_CENTRE = 2;

	/** Longest time that a retry takes to arrive, with a lost packet. */
	private static final Duration MAXIMUM_TRANSIT_TIME = Duration.ofSeconds(1);

	private final Instant startedAt;

	private EntrySettings settings;

	private RetryShares(EntrySettings settings, Instant startedAt) {
		this.settings = settings;
		this.startedAt = startedAt;
	}

	static RetryShares of(EntrySettings settings, Instant startedAt) {
		return new RetryShares(settings, startedAt);
	}

	void updateSettings(EntrySettings newSettings) {
		this.settings = newSettings;
	}

	/**
	 * Returns this node's share.
	 * @param liveNodes number of live nodes, including this one
	 * @param now the current time
	 * @return the share
	 */
	RetryShare share(int liveNodes, Instant now) {
		if (now.isBefore(this.startedAt.plus(this.settings.retryWindow()).plus(MAXIMUM_TRANSIT_TIME))) {
			return RetryShare.NONE;
		}
		int nodes = Math.max(liveNodes, MINIMUM_NODES_PER_DATA_CENTRE * this.settings.dataCentres().size());
		return new RetryShare(this.settings.retryAllowance() * USED_ALLOWANCE_SHARE / nodes, nodes);
	}

}
