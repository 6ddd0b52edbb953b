package sycamorehill.model.serving;

import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;

/**
 * What a target says of itself in the directory.
 *
 * @param name the target's name, which changes with most starts
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param dataCentre where it runs
 * @param slots requests that it runs at once
 * @param leaving whether it is about to stop
 * @param startMillis start of the target's process by its own wall clock, in
 * milliseconds; tells two lives under one name apart
 * @param domain the fabric domain of an engine
 * @param staged models whose weights lie on the engine's host
 * @param loaded the model that the engine holds
 * @param membership the engine's group
 */
public record TargetEntry(TargetName name, ServiceName service, Address address, DataCentreName dataCentre, int slots,
		boolean leaving, long startMillis, Optional<String> domain, Set<String> staged, Optional<String> loaded,
		Optional<Membership> membership) {

	/**
	 * Copies the staged models.
	 */
	public TargetEntry {
		staged = Set.copyOf(staged);
	}

	/**
	 * Whether the engine reports a group as its own.
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @return true if it does
	 */
	public boolean isMemberOf(String group, long epoch) {
		return this.membership.filter((current) -> current.group().equals(group) && current.epoch() == epoch)
			.isPresent();
	}

	/**
	 * Whether the entry tells of another life of the target's process.
	 * @param other the entry to compare with
	 * @return true if the process started anew in between
	 */
	public boolean isOtherIncarnation(TargetEntry other) {
		return this.startMillis != other.startMillis || !this.address.equals(other.address);
	}

	/**
	 * The same target after it has told more of itself.
	 * @param stagedModels models whose weights lie on its host
	 * @param reportedMembership its group
	 * @return its entry
	 */
	public TargetEntry withReport(Set<String> stagedModels, Optional<Membership> reportedMembership) {
		return new TargetEntry(this.name, this.service, this.address, this.dataCentre, this.slots, this.leaving,
				this.startMillis, this.domain, stagedModels, this.loaded, reportedMembership);
	}

}
