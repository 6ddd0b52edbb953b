package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.target.ServingTarget;

/**
 * The groups that may be given work now.
 */
public final class ServingGroups {

	private ServingGroups() {
	}

	/**
	 * The groups of the own data centre that may be given work.
	 * @param allocation the allocation as last seen
	 * @param fleet what is known of the VMs
	 * @param service the service
	 * @param now own monotonic time
	 * @param freshness the oldest sight of a member that counts
	 * @return the targets, by name
	 */
	public static List<ServingTarget> own(Allocation allocation, Fleet fleet, ServiceName service, Instant now,
			Duration freshness) {
		List<ServingTarget> targets = new ArrayList<>();
		for (GroupRecord record : allocation.groups().values()) {
			if (record.service().equals(service) && serves(record, fleet, now, freshness)) {
				target(allocation, fleet, record).ifPresent(targets::add);
			}
		}
		return targets;
	}

	/**
	 * Whether a group may be given work. Failure: the head still answers although a
	 * member is gone, was replaced at the same address, or has joined another group; it
	 * shows as streams that stall or mix. So every member counts, each must have said of
	 * itself that it is ready in exactly this generation, and a sight without a recent
	 * time is none.
	 * @param record the group
	 * @param fleet what is known of the VMs
	 * @param now own monotonic time
	 * @param freshness the oldest sight that counts
	 * @return whether it serves whole
	 */
	static boolean serves(GroupRecord record, Fleet fleet, Instant now, Duration freshness) {
		return record.phase() == GroupPhase.SERVING && record.members()
			.stream()
			.allMatch((vm) -> fleet.seenReady(vm, record.identity(), now, freshness) && !fleet.isLeaving(vm));
	}

	private static Optional<ServingTarget> target(Allocation allocation, Fleet fleet, GroupRecord record) {
		VmEntry head = fleet.entries().get(record.head());
		if (head == null) {
			return Optional.empty();
		}
		return Optional.of(new ServingTarget(record.identity().name().target(), record.service(),
				allocation.dataCentre(), head.address(), Optional.of(record.identity()), record.members()));
	}

}
