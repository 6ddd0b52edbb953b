package sycamorehill.model.event;

import java.time.Instant;

/**
 * Events of the node itself.
 */
public sealed interface NodeEvent extends Event {

	/**
	 * The node has started.
	 *
	 * @param seed seed of all random choices, drawn at start-up
	 */
	record Started(long seed) implements NodeEvent {
	}

	/**
	 * A regular tick. Deadlines and timeouts are checked.
	 *
	 * @param wallClock wall-clock time for records that readers compare; never used for
	 * leases
	 */
	record Ticked(Instant wallClock) implements NodeEvent {
	}

	/**
	 * The node was asked to stop.
	 */
	record StopRequested() implements NodeEvent {
	}

}
