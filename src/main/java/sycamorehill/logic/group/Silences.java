package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * VMs that are claimed and not seen, with the time since which this node has watched them
 * be silent.
 *
 * @param since own monotonic time of the beginning of each silence
 * @param lookedAt own monotonic time of the last look
 * @param trusted whether the own view is good enough to tell the dead
 */
public record Silences(PMap<VmName, Instant> since, Instant lookedAt, boolean trusted) {

	private static final Duration LONGEST_GAP = Duration.ofSeconds(3);

	static Silences none() {
		return new Silences(HashTreePMap.empty(), Instant.MIN, false);
	}

	/**
	 * Looks at the claimed VMs.
	 * @param fleet what is known of the VMs
	 * @param claimed the VMs that matter
	 * @param now own monotonic time
	 * @param reportInterval how often engines are asked
	 * @return the silences after this look
	 */
	Silences look(Fleet fleet, Iterable<VmName> claimed, Instant now, Duration reportInterval) {
		// Failure: this node was paused, and on waking every sight that it has is old: it
		// would take the whole data centre for dead and rebuild it. A silence counts only
		// while the node itself was looking.
		boolean paused = this.lookedAt.equals(Instant.MIN) || this.lookedAt.plus(LONGEST_GAP).isBefore(now);
		PMap<VmName, Instant> before = paused ? HashTreePMap.empty() : this.since;
		PMap<VmName, Instant> after = HashTreePMap.empty();
		Duration bound = reportInterval.multipliedBy(2);
		for (VmName vm : claimed) {
			if (fleet.freshSight(vm, now, bound).isEmpty()) {
				after = after.plus(vm, before.getOrDefault(vm, now));
			}
		}
		return new Silences(after, now, !paused && someDomainIsSeen(fleet, now, bound));
	}

	// Failure: the own links are cut, every VM is silent, and the controller would
	// declare all dead. As long as no domain shows at least half of its VMs, the fault is
	// taken to be on this side.
	private static boolean someDomainIsSeen(Fleet fleet, Instant now, Duration bound) {
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
	 * @param deadAfter the silence that counts as death
	 * @return whether its group has to go on without it
	 */
	boolean dead(VmName vm, Instant now, Duration deadAfter) {
		Instant start = this.since.get(vm);
		return this.trusted && start != null && !start.plus(deadAfter).isAfter(now);
	}

	Iterable<VmName> silent() {
		return this.since.keySet();
	}

}
