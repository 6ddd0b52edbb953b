package sycamorehill.logic.observation;

import java.time.Instant;
import java.util.Comparator;

import sycamorehill.model.identity.VmName;

/**
 * The time at which an engine is asked next.
 *
 * @param at own monotonic time
 * @param vm the VM
 */
public record ScheduledPoll(Instant at, VmName vm) implements Comparable<ScheduledPoll> {

	private static final Comparator<ScheduledPoll> ORDER = Comparator.comparing(ScheduledPoll::at)
		.thenComparing(ScheduledPoll::vm);

	@Override
	public int compareTo(ScheduledPoll other) {
		return ORDER.compare(this, other);
	}

}
