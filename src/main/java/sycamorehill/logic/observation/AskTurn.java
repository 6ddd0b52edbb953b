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
public record AskTurn(Instant at, VmName vm) implements Comparable<AskTurn> {

	private static final Comparator<AskTurn> ORDER = Comparator.comparing(AskTurn::at).thenComparing(AskTurn::vm);

	@Override
	public int compareTo(AskTurn other) {
		return ORDER.compare(this, other);
	}

}
