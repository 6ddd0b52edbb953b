package sycamorehill.model.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;

/**
 * Entry of a target in the directory.
 *
 * @param name the target's name, which changes with most restarts
 * @param service the service to which it belongs
 * @param address where it accepts requests
 * @param dataCentre data centre in which it runs
 * @param slots number of requests that it runs at once
 * @param leaving whether it is about to stop
 * @param startMillis start time of the target's process in milliseconds, by its own wall
 * clock; distinguishes two incarnations of the same name
 * @param domain fabric domain of an engine
 * @param staged models whose weights are stored on the engine's host
 * @param loaded model that the engine has loaded
 * @param membership the engine's membership in a group
 * @param warmUpLeft how much longer the target was cold when the entry was written
 */
public record TargetEntry(TargetName name, ServiceName service, Address address, DataCentreName dataCentre, int slots,
		boolean leaving, long startMillis, Optional<String> domain, Set<String> staged, Optional<String> loaded,
		Optional<Membership> membership, Duration warmUpLeft) {

	/** Maximum number of slots; no target runs more requests at once. */
	public static final int MAXIMUM_SLOTS = 1_000_000;

	/** Maximum time for which a target is cold. */
	public static final Duration MAXIMUM_WARM_UP = Duration.ofDays(1);

	/**
	 * Creates the entry of a target that is not cold.
	 * @param name the target's name
	 * @param service the service to which it belongs
	 * @param address where it accepts requests
	 * @param dataCentre data centre in which it runs
	 * @param slots number of requests that it runs at once
	 * @param leaving whether it is about to stop
	 * @param startMillis start time of the target's process in milliseconds
	 * @param domain fabric domain of an engine
	 * @param staged models whose weights are stored on the engine's host
	 * @param loaded model that the engine has loaded
	 * @param membership the engine's membership in a group
	 */
	public TargetEntry(TargetName name, ServiceName service, Address address, DataCentreName dataCentre, int slots,
			boolean leaving, long startMillis, Optional<String> domain, Set<String> staged, Optional<String> loaded,
			Optional<Membership> membership) {
		this(name, service, address, dataCentre, slots, leaving, startMillis, domain, staged, loaded, membership,
				Duration.ZERO);
	}

	/**
	 * Copies the staged models and checks that the numbers are in range.
	 */
	public TargetEntry {
		if (slots < 1 || slots > MAXIMUM_SLOTS) {
			throw new IllegalArgumentException("a target has 1 to " + MAXIMUM_SLOTS + " slots, not " + slots);
		}
		if (warmUpLeft.isNegative() || warmUpLeft.compareTo(MAXIMUM_WARM_UP) > 0) {
			throw new IllegalArgumentException(
					"a target is cold for at most " + MAXIMUM_WARM_UP + ", not for " + warmUpLeft);
		}
		staged = Set.copyOf(staged);
	}

	/**
	 * Returns whether the engine reports that it belongs to a group.
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @return true if it does
	 */
	public boolean isMemberOf(String group, long epoch) {
		return this.membership.filter((current) -> current.group().equals(group) && current.epoch() == epoch)
			.isPresent();
	}

	/**
	 * Returns whether the other entry describes another incarnation of the target's
	 * process.
	 * @param other the entry to compare with
	 * @return true if the process was restarted between the two entries
	 */
	public boolean isOtherIncarnation(TargetEntry other) {
		return this.startMillis != other.startMillis || !this.address.equals(other.address);
	}

	/**
	 * Returns this entry as that of a target that is about to stop.
	 * @return the entry
	 */
	public TargetEntry asLeaving() {
		return new TargetEntry(this.name, this.service, this.address, this.dataCentre, this.slots, true,
				this.startMillis, this.domain, this.staged, this.loaded, this.membership, this.warmUpLeft);
	}

	/**
	 * Returns this entry, updated by a report of the engine.
	 * @param stagedModels models whose weights are stored on its host
	 * @param reportedMembership its membership in a group
	 * @return the updated entry
	 */
	public TargetEntry withReport(Set<String> stagedModels, Optional<Membership> reportedMembership) {
		return new TargetEntry(this.name, this.service, this.address, this.dataCentre, this.slots, this.leaving,
				this.startMillis, this.domain, stagedModels, this.loaded, reportedMembership, this.warmUpLeft);
	}

	/**
	 * Returns this entry with another time for which the target stays cold.
	 * @param left the time
	 * @return the entry
	 */
	public TargetEntry withWarmUpLeft(Duration left) {
		return new TargetEntry(this.name, this.service, this.address, this.dataCentre, this.slots, this.leaving,
				this.startMillis, this.domain, this.staged, this.loaded, this.membership, left);
	}

}
