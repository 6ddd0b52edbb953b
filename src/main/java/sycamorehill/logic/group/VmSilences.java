package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.RepairRules;

/**
 * Tracks the claimed VMs that are silent, and since when this node has observed their
 * silence.
 *
 * @param since the node's monotonic time at the start of each silence
 * @param lookedAt the node's monotonic time of the last update
 * @param trusted whether this node observes enough VMs to decide that one is dead
 * @param companyAt the node's monotonic time at which another node was last live
 * @param deserted whether all other nodes have recently become silent
 * @param gone the silent VMs that are dead by further evidence, such as refused
 * connections
 */
public record VmSilences(PMap<VmName, Instant> since, Instant lookedAt, boolean trusted, Instant companyAt,
		boolean deserted, PSet<VmName> gone) {

	private static final int SILENT_REPORT_INTERVALS = 3;

	private static final Duration MINIMUM_REFUSAL_DURATION = Duration.ofSeconds(2);

	private static final Duration RECENT_CONTACT_WINDOW = Duration.ofMinutes(2);

	private static final Duration MAXIMUM_UPDATE_GAP = Duration.ofSeconds(3);

	static VmSilences none() {
		return new VmSilences(HashTreePMap.empty(), Instant.MIN, false, Instant.MIN, false, HashTreePSet.empty());
	}

	/**
	 * Updates the silences from the latest observations.
	 * @param fleet the known VMs and their reports
	 * @param groups the groups
	 * @param standbys the claimed standbys
	 * @param hasPeers whether another node of the data centre is live
	 * @param now the current monotonic time of this node
	 * @param reportInterval the interval at which engines are asked for a report
	 * @return the updated silences
	 */
	VmSilences update(Fleet fleet, Iterable<GroupRecord> groups, Iterable<VmName> standbys, boolean hasPeers,
			Instant now, Duration reportInterval) {
		// After a pause of this node all its observations are old. It would consider the
		// whole data centre dead and rebuild it. So a silence counts only while this node
		// was updating its observations.
		boolean paused = this.lookedAt.equals(Instant.MIN) || this.lookedAt.plus(MAXIMUM_UPDATE_GAP).isBefore(now);
		boolean discardsEarlier = paused || this.deserted || !this.trusted;
		PMap<VmName, Instant> earlier = discardsEarlier ? HashTreePMap.empty() : this.since;
		Duration maximumAge = reportInterval.multipliedBy(SILENT_REPORT_INTERVALS);
		PMap<VmName, Instant> silences = HashTreePMap.empty();
		PSet<VmName> likelyDead = HashTreePSet.empty();
		for (VmName vm : standbys) {
			silences = isSilent(fleet, vm, now, maximumAge) ? silences.plus(vm, earlier.getOrDefault(vm, now))
					: silences;
		}
		for (GroupRecord record : groups) {
			boolean replicaFailed = record.phase() == GroupPhase.SERVING
					&& reportsFailure(fleet, record, now, maximumAge);
			for (VmName vm : record.members()) {
				if (isSilent(fleet, vm, now, maximumAge)) {
					silences = silences.plus(vm, earlier.getOrDefault(vm, now));
					likelyDead = (replicaFailed || isRefusing(fleet, vm, now)) ? likelyDead.plus(vm) : likelyDead;
				}
			}
		}
		// This node may be partitioned from a VM and from the nodes that still observe
		// it, and would rebuild a group that serves. So the silence of a VM proves
		// nothing if all other nodes have recently become silent.
		Instant lastContactAt = hasPeers ? now : this.companyAt;
		boolean hadRecentContact = !lastContactAt.equals(Instant.MIN)
				&& lastContactAt.plus(RECENT_CONTACT_WINDOW).isAfter(now);
		boolean isReliable = !paused && isAnyDomainObserved(fleet, now, maximumAge);
		return new VmSilences(silences, now, isReliable, lastContactAt, !hasPeers && hadRecentContact, likelyDead);
	}

	private static boolean isSilent(Fleet fleet, VmName vm, Instant now, Duration maximumAge) {
		return fleet.freshObservation(vm, now, maximumAge).isEmpty();
	}

	private static boolean reportsFailure(Fleet fleet, GroupRecord record, Instant now, Duration maximumAge) {
		return record.members()
			.stream()
			.anyMatch((vm) -> fleet.freshObservation(vm, now, maximumAge)
				.map(VmObservation::report)
				.filter((report) -> report.state() == EngineState.FAILED)
				.flatMap(VmReport::group)
				.filter(record.identity()::equals)
				.isPresent());
	}

	private static boolean isRefusing(Fleet fleet, VmName vm, Instant now) {
		Instant first = fleet.refusals().get(vm);
		return first != null && !first.plus(MINIMUM_REFUSAL_DURATION).isAfter(now);
	}

	// If this node's own links fail, every VM is silent and the controller would declare
	// all of them dead. So the fault is assumed to be local unless this node observes at
	// least half of the VMs of some domain.
	private static boolean isAnyDomainObserved(Fleet fleet, Instant now, Duration maximumAge) {
		Map<FabricDomain, int[]> counts = new HashMap<>();
		for (VmEntry entry : fleet.entries().values()) {
			int[] count = counts.computeIfAbsent(entry.domain(), (domain) -> new int[2]);
			count[0]++;
			if (fleet.freshObservation(entry.name(), now, maximumAge).isPresent()) {
				count[1]++;
			}
		}
		return counts.values().stream().anyMatch((count) -> count[1] > 0 && 2 * count[1] >= count[0]);
	}

	/**
	 * Returns whether a VM is considered dead.
	 * @param vm the VM
	 * @param now the current monotonic time of this node
	 * @param rules the rules for repairs
	 * @return whether its group has to continue without it
	 */
	boolean isDead(VmName vm, Instant now, RepairRules rules) {
		// A node that controlled the groups minutes ago and acquires the lease again must
		// not decide on its observations from that time.
		if (this.lookedAt.equals(Instant.MIN) || this.lookedAt.plus(MAXIMUM_UPDATE_GAP).isBefore(now)) {
			return false;
		}
		if (rules.readsSigns() && this.trusted && this.gone.contains(vm)) {
			return true;
		}
		Instant start = this.since.get(vm);
		return this.trusted && start != null && !start.plus(rules.deadAfter()).isAfter(now);
	}

	/**
	 * Returns the silent VMs.
	 * @return the VMs
	 */
	Iterable<VmName> silentVms() {
		return this.since.keySet();
	}

}
