package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Collection;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.VmName;

/**
 * Holds the repairs made while the platform does not answer, with standbys that the
 * allocation had claimed before, and the groups that began to serve meanwhile.
 *
 * @param baseVersion the version of the allocation that the repairs are based on
 * @param repairs the number of repairs in this incarnation of the node
 * @param repaired the repaired groups, and those that began to serve
 * @param silentPeers the time at which each other steward last reported that the platform
 * does not answer it
 * @param nextWordAt the time of this node's next report that the platform does not answer
 * it
 */
public record OfflineState(long baseVersion, long repairs, PMap<GroupName, GroupRecord> repaired,
		PMap<NodeIncarnation, Instant> silentPeers, Instant nextWordAt) {

	/**
	 * The lowest generation that is assigned while the platform does not answer. Such a
	 * generation contains the controller's fencing number and a counter, so that no other
	 * node assigns the same.
	 */
	static final long FIRST_OFFLINE_GENERATION = 1L << 50;

	private static final int COUNTER_BITS = 20;

	static OfflineState initial() {
		return new OfflineState(0, 0, TreePMap.empty(), HashTreePMap.empty(), Instant.MIN);
	}

	static long generation(long fencingNumber, long repair) {
		return FIRST_OFFLINE_GENERATION + (fencingNumber << COUNTER_BITS) + repair;
	}

	/**
	 * Returns the fencing number in a generation that was assigned while the platform did
	 * not answer.
	 * @param generation the generation
	 * @return the fencing number
	 */
	static long fencingNumber(long generation) {
		return (generation - FIRST_OFFLINE_GENERATION) >> COUNTER_BITS;
	}

	/**
	 * Returns the allocation with the repairs and the groups that began to serve applied
	 * to it.
	 * @param allocation the known allocation
	 * @param version its version
	 * @return the allocation, the same instance if no repair is based on this version
	 */
	Allocation applyTo(Allocation allocation, long version) {
		if (version != this.baseVersion || this.repaired.isEmpty()) {
			return allocation;
		}
		PMap<VmName, GroupSetName> standbys = allocation.standbys();
		for (GroupRecord record : this.repaired.values()) {
			for (VmName vm : record.members()) {
				standbys = standbys.minus(vm);
			}
		}
		return new Allocation(allocation.dataCentre(), allocation.fencingNumber(), allocation.writer(),
				allocation.nextGeneration(), allocation.groups().plusAll(this.repaired), standbys);
	}

	Collection<GroupRecord> currentRepairs(long version) {
		return (version == this.baseVersion) ? this.repaired.values() : List.of();
	}

	OfflineState withRepair(long version, GroupRecord record, boolean isNew) {
		PMap<GroupName, GroupRecord> kept = (version == this.baseVersion) ? this.repaired : TreePMap.empty();
		return new OfflineState(version, this.repairs + (isNew ? 1 : 0), kept.plus(record.identity().name(), record),
				this.silentPeers, this.nextWordAt);
	}

	OfflineState withSilentPeer(NodeIncarnation node, Instant now) {
		return new OfflineState(this.baseVersion, this.repairs, this.repaired, this.silentPeers.plus(node, now),
				this.nextWordAt);
	}

	OfflineState withNextReportAt(Instant changed) {
		return new OfflineState(this.baseVersion, this.repairs, this.repaired, this.silentPeers, changed);
	}

}
