package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import sycamorehill.logic.NodeView;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.GroupFacts;
import sycamorehill.model.target.ServingTarget;

/**
 * The groups that may be given work now.
 */
public final class ServingGroups {

	private ServingGroups() {
	}

	/**
	 * The groups of all data centres that may be given work.
	 * @param state what the node knows of groups
	 * @param view the node's view
	 * @param service the service
	 * @param now own monotonic time
	 * @return the targets, by data centre and name
	 */
	public static List<ServingTarget> of(GroupState state, NodeView view, ServiceName service, Instant now) {
		DataCentreName own = view.self().dataCentre();
		Map<String, ServingTarget> targets = new TreeMap<>();
		state.spread().groups().forEach((dataCentre, groups) -> {
			if (!dataCentre.equals(own) || groups.version() >= state.allocation().version()) {
				publishedTargets(dataCentre, groups, view, service, now)
					.forEach((target) -> targets.put(key(target), target));
			}
		});
		long publishedVersion = state.spread().groups().getOrDefault(own, PublishedGroups.none()).version();
		if (state.allocation().version() >= publishedVersion) {
			state.effectiveAllocation()
				.ifPresent((allocation) -> localTargets(allocation, view, service, now)
					.forEach((target) -> targets.put(key(target), target)));
		}
		return List.copyOf(targets.values());
	}

	private static String key(ServingTarget target) {
		return target.dataCentre() + "/" + target.name();
	}

	private static List<ServingTarget> localTargets(Allocation allocation, NodeView view, ServiceName service,
			Instant now) {
		Duration freshness = view.policy().observation().freshness();
		List<ServingTarget> targets = new ArrayList<>();
		for (GroupRecord record : allocation.groups().values()) {
			if (record.service().equals(service) && isServing(record, view.fleet(), now, freshness)) {
				target(allocation, view.fleet(), record).ifPresent(targets::add);
			}
		}
		return targets;
	}

	private static List<ServingTarget> publishedTargets(DataCentreName dataCentre, PublishedGroups groups,
			NodeView view, ServiceName service, Instant now) {
		Instant oldest = now.minus(view.policy().observation().freshness());
		boolean own = dataCentre.equals(view.self().dataCentre());
		List<ServingTarget> targets = new ArrayList<>();
		for (PublishedGroup group : groups.groups().values()) {
			Optional<GroupFacts> facts = group.facts().filter((known) -> known.service().equals(service));
			if (facts.isEmpty() || group.seenAt().isBefore(oldest)) {
				continue;
			}
			boolean leaving = own && facts.get().members().stream().anyMatch(view.fleet()::isLeaving);
			if (!leaving) {
				targets
					.add(new ServingTarget(group.identity().name().target(), service, dataCentre, facts.get().address(),
							Optional.of(group.identity()), facts.get().members(), facts.get().modelVersion()));
			}
		}
		return targets;
	}

	/**
	 * The sight of a group's head as the stewards spread it.
	 * @param state what the node knows of groups
	 * @param head the head
	 * @return the sight, if the VM is the head of a known group
	 */
	public static Optional<VmSight> publishedHeadObservation(GroupState state, VmName head) {
		for (PublishedGroups groups : state.spread().groups().values()) {
			for (PublishedGroup group : groups.groups().values()) {
				if (group.facts().filter((facts) -> facts.members().get(0).equals(head)).isPresent()) {
					return Optional.of(group.headObservation(head));
				}
			}
		}
		return Optional.empty();
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
	static boolean isServing(GroupRecord record, Fleet fleet, Instant now, Duration freshness) {
		return record.phase() == GroupPhase.SERVING && record.members()
			.stream()
			.allMatch((vm) -> fleet.seenReady(vm, record.identity(), now, freshness) && !fleet.isLeaving(vm));
	}

	private static Optional<ServingTarget> target(Allocation allocation, Fleet fleet, GroupRecord record) {
		VmEntry head = fleet.entries().get(record.head());
		if (head == null) {
			return Optional.empty();
		}
		return Optional
			.of(new ServingTarget(record.identity().name().target(), record.service(), allocation.dataCentre(),
					head.address(), Optional.of(record.identity()), record.members(), record.modelVersion()));
	}

}
