package sycamorehill.logic.observation;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.identity.VmName;

/**
 * A scheduled poll of an engine.
 *
 * @param at the monotonic time of this node at which the poll is due
 * @param vm the VM of the engine
 */
public record ScheduledPoll(Instant at, VmName vm) implements Comparable<ScheduledPoll> {

	private static final Comparator<ScheduledPoll> ORDER = Comparator.comparing(ScheduledPoll::at)
		.thenComparing(ScheduledPoll::vm);

	@Override
	public int compareTo(ScheduledPoll other) {
		return ORDER.compare(this, other);
	}

}
