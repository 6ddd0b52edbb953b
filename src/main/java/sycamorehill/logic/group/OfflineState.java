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
 * Repairs made while the platform is silent, with standbys that the allocation had
 * claimed before.
 *
 * @param baseVersion version of the allocation that they rest on
 * @param repairs how many there were in this life of the node
 * @param repaired the repaired groups
 * @param silentPeers when another steward last said that the platform is silent to it
 * @param nextWordAt when this node says so next
 */
public record OfflineState(long baseVersion, long repairs, PMap<GroupName, GroupRecord> repaired,
		PMap<NodeIncarnation, Instant> silentPeers, Instant nextWordAt) {

	/**
	 * Generations from here on were given while the platform was silent: the fencing
	 * number of the controller and a counter, so that no other node gives the same.
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
	 * The fencing number behind a generation that was given while the platform was
	 * silent.
	 * @param generation the generation
	 * @return the fencing number
	 */
	static long fencingNumber(long generation) {
		return (generation - FIRST_OFFLINE_GENERATION) >> COUNTER_BITS;
	}

	/**
	 * The allocation with the repairs in it.
	 * @param allocation the allocation as known
	 * @param version its version
	 * @return the very same if no repair rests on this version
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
