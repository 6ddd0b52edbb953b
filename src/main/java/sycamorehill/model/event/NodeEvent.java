package sycamorehill.model.event;

import java.time.Instant;

/**
 * Events of the node itself.
 */
public sealed interface NodeEvent extends Event {

	/**
	 * The node has started; the seed feeds every random choice.
	 *
	 * @param seed drawn at start-up
	 */
	record Started(long seed) implements NodeEvent {
	}

	/**
	 * Time has passed; bounds and timeouts are checked.
	 *
	 * @param wallClock for records that readers compare; never for leases
	 */
	record Ticked(Instant wallClock) implements NodeEvent {
	}

	/**
	 * The node is told to stop.
	 */
	record StopRequested() implements NodeEvent {
	}

}
