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
 * @param bornMillis start of the target's process by its own wall clock, in milliseconds;
 * tells two lives under one name apart
 * @param domain the fabric domain of an engine
 * @param staged models whose weights lie on the engine's host
 * @param loaded the model that the engine holds
 * @param membership the engine's group
 */
public record TargetEntry(TargetName name, ServiceName service, Address address, DataCentreName dataCentre, int slots,
		boolean leaving, long bornMillis, Optional<String> domain, Set<String> staged, Optional<String> loaded,
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
	public boolean memberOf(String group, long epoch) {
		return this.membership.filter((seat) -> seat.group().equals(group) && seat.epoch() == epoch).isPresent();
	}

	/**
	 * Whether the entry tells of another life of the target's process.
	 * @param other the entry to compare with
	 * @return true if the process started anew in between
	 */
	public boolean anotherLife(TargetEntry other) {
		return this.bornMillis != other.bornMillis || !this.address.equals(other.address);
	}

	/**
	 * The same target after it has told more of itself.
	 * @param held models whose weights lie on its host
	 * @param seat its group
	 * @return its entry
	 */
	public TargetEntry reporting(Set<String> held, Optional<Membership> seat) {
		return new TargetEntry(this.name, this.service, this.address, this.dataCentre, this.slots, this.leaving,
				this.bornMillis, this.domain, held, this.loaded, seat);
	}

}
