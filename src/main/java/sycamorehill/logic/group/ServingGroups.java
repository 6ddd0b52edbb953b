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
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.GroupFacts;
import sycamorehill.model.target.ServingTarget;

/**
 * Determines the groups that may receive requests.
 */
public final class ServingGroups {

	private ServingGroups() {
	}

	/**
	 * Returns the groups of all data centres that may receive requests for a service.
	 * @param state the state of group control
	 * @param view the node's view
	 * @param service the service
	 * @param now the current monotonic time of this node
	 * @return the targets, sorted by data centre and name
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
				targets.add(new ServingTarget(group.identity().name().targetName(), service, dataCentre,
						facts.get().address(), Optional.of(group.identity()), facts.get().members(),
						facts.get().modelVersion()));
			}
		}
		return targets;
	}

	/**
	 * Returns the observation of a group's head as published by the stewards.
	 * @param state the state of group control
	 * @param head the head
	 * @return the observation, empty if the VM is not the head of a published group
	 */
	public static Optional<VmObservation> publishedHeadObservation(GroupState state, VmName head) {
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
	 * Returns whether a group may receive requests. The head still answers if a member is
	 * gone, was replaced at the same address or has joined another group; streams would
	 * then stall or mix. So every member must have reported recently that it is ready in
	 * exactly this generation.
	 * @param record the group
	 * @param fleet the known VMs and their reports
	 * @param now the current monotonic time of this node
	 * @param freshness the maximum age of an observation
	 * @return whether the group is in the serving phase and complete
	 */
	static boolean isServing(GroupRecord record, Fleet fleet, Instant now, Duration freshness) {
		return record.phase() == GroupPhase.SERVING && record.members()
			.stream()
			.allMatch((vm) -> fleet.isObservedReady(vm, record.identity(), now, freshness) && !fleet.isLeaving(vm));
	}

	private static Optional<ServingTarget> target(Allocation allocation, Fleet fleet, GroupRecord record) {
		VmEntry head = fleet.entries().get(record.head());
		if (head == null) {
			return Optional.empty();
		}
		return Optional
			.of(new ServingTarget(record.identity().name().targetName(), record.service(), allocation.dataCentre(),
					head.address(), Optional.of(record.identity()), record.members(), record.modelVersion()));
	}

}
