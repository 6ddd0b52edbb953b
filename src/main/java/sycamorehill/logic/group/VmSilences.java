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
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.policy.RepairRules;

/**
 * VMs that are claimed and not seen, with the time since which this node has watched them
 * be silent.
 *
 * @param since own monotonic time of the beginning of each silence
 * @param lookedAt own monotonic time of the last look
 * @param trusted whether the own view is good enough to tell the dead
 * @param companyAt own monotonic time at which another node was last heard of
 * @param deserted whether the other nodes have fallen silent of late
 * @param gone VMs of which another sign than silence says that they are dead
 */
public record VmSilences(PMap<VmName, Instant> since, Instant lookedAt, boolean trusted, Instant companyAt,
		boolean deserted, PSet<VmName> gone) {

	private static final int SILENT_REPORT_INTERVALS = 3;

	private static final Duration MINIMUM_REFUSAL_DURATION = Duration.ofSeconds(2);

	private static final Duration RECENT_CONTACT = Duration.ofMinutes(2);

	private static final Duration MAXIMUM_UPDATE_GAP = Duration.ofSeconds(3);

	static VmSilences none() {
		return new VmSilences(HashTreePMap.empty(), Instant.MIN, false, Instant.MIN, false, HashTreePSet.empty());
	}

	/**
	 * Looks at the claimed VMs.
	 * @param fleet what is known of the VMs
	 * @param groups the groups
	 * @param standbys the VMs claimed ahead of time
	 * @param hasPeers whether another node of the data centre is heard of
	 * @param now own monotonic time
	 * @param reportInterval how often engines are asked
	 * @return the silences after this look
	 */
	VmSilences update(Fleet fleet, Iterable<GroupRecord> groups, Iterable<VmName> standbys, boolean hasPeers,
			Instant now, Duration reportInterval) {
		// Failure: this node was paused, and on waking every sight that it has is old: it
		// would take the whole data centre for dead and rebuild it. A silence counts only
		// while the node itself was looking.
		boolean paused = this.lookedAt.equals(Instant.MIN) || this.lookedAt.plus(MAXIMUM_UPDATE_GAP).isBefore(now);
		boolean discardsEarlier = paused || this.deserted || !this.trusted;
		PMap<VmName, Instant> before = discardsEarlier ? HashTreePMap.empty() : this.since;
		Duration bound = reportInterval.multipliedBy(SILENT_REPORT_INTERVALS);
		PMap<VmName, Instant> after = HashTreePMap.empty();
		PSet<VmName> likelyDead = HashTreePSet.empty();
		for (VmName vm : standbys) {
			after = isSilent(fleet, vm, now, bound) ? after.plus(vm, before.getOrDefault(vm, now)) : after;
		}
		for (GroupRecord record : groups) {
			boolean replicaFailed = record.phase() == GroupPhase.SERVING && reportsFailure(fleet, record, now, bound);
			for (VmName vm : record.members()) {
				if (isSilent(fleet, vm, now, bound)) {
					after = after.plus(vm, before.getOrDefault(vm, now));
					likelyDead = (replicaFailed || isRefusing(fleet, vm, now)) ? likelyDead.plus(vm) : likelyDead;
				}
			}
		}
		// Failure: this node's link to one VM is cut and so are its links to the
		// nodes that still see the VM; it would rebuild a group that serves. When all
		// other nodes have fallen silent a moment ago, silence of a VM proves
		// nothing.
		Instant lastContactAt = hasPeers ? now : this.companyAt;
		boolean hadRecentContact = !lastContactAt.equals(Instant.MIN)
				&& lastContactAt.plus(RECENT_CONTACT).isAfter(now);
		boolean isReliable = !paused && isAnyDomainObserved(fleet, now, bound);
		return new VmSilences(after, now, isReliable, lastContactAt, !hasPeers && hadRecentContact, likelyDead);
	}

	private static boolean isSilent(Fleet fleet, VmName vm, Instant now, Duration bound) {
		return fleet.freshSight(vm, now, bound).isEmpty();
	}

	private static boolean reportsFailure(Fleet fleet, GroupRecord record, Instant now, Duration bound) {
		return record.members()
			.stream()
			.anyMatch((vm) -> fleet.freshSight(vm, now, bound)
				.map(VmSight::report)
				.filter((report) -> report.state() == EngineState.FAILED)
				.flatMap(VmReport::group)
				.filter(record.identity()::equals)
				.isPresent());
	}

	private static boolean isRefusing(Fleet fleet, VmName vm, Instant now) {
		Instant first = fleet.refusals().get(vm);
		return first != null && !first.plus(MINIMUM_REFUSAL_DURATION).isAfter(now);
	}

	// Failure: the own links are cut, every VM is silent, and the controller would
	// declare all dead. As long as no domain shows at least half of its VMs, the fault is
	// taken to be on this side.
	private static boolean isAnyDomainObserved(Fleet fleet, Instant now, Duration bound) {
		Map<FabricDomain, int[]> counts = new HashMap<>();
		for (VmEntry entry : fleet.entries().values()) {
			int[] count = counts.computeIfAbsent(entry.domain(), (domain) -> new int[2]);
			count[0]++;
			if (fleet.freshSight(entry.name(), now, bound).isPresent()) {
				count[1]++;
			}
		}
		return counts.values().stream().anyMatch((count) -> count[1] > 0 && 2 * count[1] >= count[0]);
	}

	/**
	 * Whether a VM is taken for dead.
	 * @param vm the VM
	 * @param now own monotonic time
	 * @param rules how groups are repaired
	 * @return whether its group has to go on without it
	 */
	boolean isDead(VmName vm, Instant now, RepairRules rules) {
		// Failure: a node that controlled the groups minutes ago takes the lease
		// again and decides on what it watched then.
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
	 * The VMs that are silent.
	 * @return the VMs
	 */
	Iterable<VmName> silentVms() {
		return this.since.keySet();
	}

}
