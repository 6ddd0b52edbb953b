package sycamorehill.experiment.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.ModelGroupItem;

/**
 * Checks in each step of a trial what must always hold, and measures downtime and
 * stranded VMs against the engines themselves, not against what nodes believe.
 */
final class TrialCheck {

	private static final Duration SLACK = Duration.ofMillis(250);

	private static final Duration TROUBLE = Duration.ofSeconds(30);

	private static final int LONGEST_STREAM_SECONDS = 40;

	private final List<Stream> streams = new ArrayList<>();

	private final Map<DataCentreName, Map<GroupIdentity, List<VmName>>> routed = new HashMap<>();

	private final GroupTrial trial;

	private final TrialSettings settings;

	TrialCheck(GroupTrial trial, TrialSettings settings) {
		this.trial = trial;
		this.settings = settings;
	}

	void step(boolean wholeSecond) {
		if (wholeSecond) {
			routes();
			allocations();
		}
		streams();
		measure();
	}

	private void routes() {
		this.routed.clear();
		for (TrialNode node : this.trial.nodes()) {
			if (!node.runs(this.trial.now())) {
				continue;
			}
			List<ServingTarget> targets = targets(node);
			for (ServingTarget target : targets) {
				this.routed.computeIfAbsent(target.dataCentre(), (name) -> new HashMap<>())
					.put(target.group().orElseThrow(), target.members());
				requireWhole(node, target);
			}
			if (!targets.isEmpty()) {
				begin(targets.get(this.trial.random().nextInt(targets.size())));
			}
		}
	}

	private List<ServingTarget> targets(TrialNode node) {
		List<ServingTarget> targets = new ArrayList<>();
		sets().stream()
			.map(ModelGroupItem::service)
			.distinct()
			.forEach((service) -> targets.addAll(node.targets(service, this.trial.now())));
		return targets;
	}

	private List<ModelGroupItem> sets() {
		return this.trial.truth()
			.items()
			.values()
			.stream()
			.map(AppliedItem::item)
			.filter(ModelGroupItem.class::isInstance)
			.map(ModelGroupItem.class::cast)
			.toList();
	}

	private void requireWhole(TrialNode node, ServingTarget target) {
		Instant since = this.trial.now().minus(this.settings.policy().observation().freshness()).minus(SLACK);
		for (VmName vm : target.members()) {
			if (!this.trial.engines().get(vm).wasReadyIn(target.group().orElseThrow(), since)) {
				this.trial.figures()
					.violation(this.trial.now() + " " + node.self().incarnation().node() + " routes to "
							+ target.group().get() + " although " + vm + " is not in it");
			}
		}
	}

	private void allocations() {
		long generations = 0;
		for (DataCentreName dataCentre : dataCentres()) {
			Allocation allocation = this.trial.allocation(dataCentre);
			generations += allocation.nextGeneration() - 1;
			Set<VmName> seen = new HashSet<>(allocation.standbys().keySet());
			for (GroupRecord record : allocation.groups().values()) {
				for (VmName vm : record.members()) {
					if (!seen.add(vm)) {
						this.trial.figures().violation(this.trial.now() + " " + vm + " is claimed twice");
					}
				}
			}
		}
		this.trial.figures().changes(generations);
	}

	private List<DataCentreName> dataCentres() {
		return this.trial.nodes().stream().map((node) -> node.self().dataCentre()).distinct().toList();
	}

	private void begin(ServingTarget target) {
		TrialEngine head = this.trial.engines().get(target.members().get(0));
		GroupIdentity identity = target.group().orElseThrow();
		boolean whole = target.members()
			.stream()
			.allMatch((vm) -> this.trial.engines().get(vm).isReadyIn(identity, this.trial.now()));
		if (whole) {
			Duration length = Duration.ofSeconds(this.trial.random().nextInt(1, LONGEST_STREAM_SECONDS));
			head.streams(1);
			this.streams.add(new Stream(head, identity, this.trial.now().plus(length)));
			this.trial.figures().stream();
		}
	}

	private void streams() {
		List<Stream> over = new ArrayList<>();
		for (Stream stream : this.streams) {
			boolean broken = !stream.head.group().equals(Optional.of(stream.identity)) || stream.head.running() == 0;
			if (broken) {
				this.trial.figures().brokenStream();
				over.add(stream);
			}
			else if (!stream.endsAt.isAfter(this.trial.now())) {
				stream.head.streams(-1);
				over.add(stream);
			}
		}
		this.streams.removeAll(over);
	}

	/**
	 * Takes in that an order was carried out.
	 * @param engine the engine
	 * @param runningBefore what it ran before the order
	 */
	void ordered(TrialEngine engine, int runningBefore) {
		if (runningBefore == 0 || engine.running() > 0) {
			return;
		}
		List<GroupIdentity> cut = this.streams.stream()
			.filter((stream) -> stream.head == engine)
			.map((stream) -> stream.identity)
			.distinct()
			.toList();
		for (GroupIdentity identity : cut) {
			Instant lately = this.trial.now().minus(TROUBLE);
			boolean planned = engine.membersBefore()
				.stream()
				.noneMatch((vm) -> this.trial.engines().get(vm).wasTroubled(lately));
			if (planned) {
				this.trial.figures().violation(this.trial.now() + " a planned change cuts off streams of " + identity);
			}
		}
	}

	private void measure() {
		for (DataCentreName dataCentre : dataCentres()) {
			Allocation allocation = this.trial.allocation(dataCentre);
			int wanted = sets().stream()
				.filter((set) -> set.dataCentre().equals(dataCentre))
				.mapToInt(ModelGroupItem::groups)
				.sum();
			Map<GroupName, List<VmName>> serving = serving(dataCentre, allocation);
			Set<VmName> busy = new HashSet<>();
			serving.values().forEach(busy::addAll);
			Set<VmName> claimed = new HashSet<>(allocation.standbys().keySet());
			allocation.groups().values().forEach((record) -> claimed.addAll(record.members()));
			int idle = (int) claimed.stream().filter((vm) -> isUp(vm) && !busy.contains(vm)).count();
			this.trial.figures().down(Math.max(0, wanted - serving.size()), GroupTrial.STEP);
			this.trial.figures().stranded(idle, GroupTrial.STEP);
		}
	}

	// A group serves if some node sends work to it and it is whole in truth; one that
	// drains still serves what it runs.
	private Map<GroupName, List<VmName>> serving(DataCentreName dataCentre, Allocation allocation) {
		Map<GroupName, List<VmName>> serving = new HashMap<>();
		for (GroupRecord record : allocation.groups().values()) {
			if (record.phase() == GroupPhase.DRAINING && isWhole(record.identity(), record.members())) {
				serving.put(record.identity().name(), record.members());
			}
		}
		this.routed.getOrDefault(dataCentre, Map.of()).forEach((identity, members) -> {
			if (isWhole(identity, members)) {
				serving.put(identity.name(), members);
			}
		});
		return serving;
	}

	private boolean isWhole(GroupIdentity identity, List<VmName> members) {
		return members.stream().allMatch((vm) -> this.trial.engines().get(vm).isReadyIn(identity, this.trial.now()));
	}

	private boolean isUp(VmName vm) {
		return !this.trial.engines().get(vm).isDown();
	}

	private record Stream(TrialEngine head, GroupIdentity identity, Instant endsAt) {

	}

}
