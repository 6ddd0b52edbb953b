package sycamorehill.model.serving;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;

/**
 * Address of one incarnation of a target.
 *
 * @param name the target's name
 * @param address where it accepts requests
 */
public record TargetAddress(TargetName name, Address address) {

	/**
	 * Returns the address of a process.
	 * @param target the process
	 * @return its address
	 */
	public static TargetAddress of(TargetIncarnation target) {
		return new TargetAddress(target.name(), target.address());
	}

}
