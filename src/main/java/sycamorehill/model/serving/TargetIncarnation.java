package sycamorehill.model.serving;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;

/**
 * One process of a target, from its start to its end.
 *
 * @param name the target's name
 * @param startMillis start time of the process by its own wall clock
 * @param address where the process accepts requests
 */
public record TargetIncarnation(TargetName name, long startMillis, Address address) {

	/**
	 * Returns the process that an entry describes.
	 * @param entry the entry
	 * @return the process
	 */
	public static TargetIncarnation of(TargetEntry entry) {
		return new TargetIncarnation(entry.name(), entry.startMillis(), entry.address());
	}

}
