package sycamorehill.experiment.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * The VMs of a trial, their list and the weight store.
 */
public final class TrialVms {

	private static final Duration LINK = Duration.ofMillis(2);

	private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);

	private static final Duration FABRIC_NOTICES = Duration.ofSeconds(1);

	private static final int LATEST_MILLISECONDS = 8000;

	private final Deque<Snapshot> lists = new ArrayDeque<>();

	private final GroupTrial trial;

	private final TrialSettings settings;

	private final Map<VmName, TrialEngine> engines;

	private double lateOrders;

	private double lostAnswers;

	private Duration listLag;

	TrialVms(GroupTrial trial, TrialSettings settings, Map<VmName, TrialEngine> engines) {
		this.trial = trial;
		this.settings = settings;
		this.engines = engines;
		this.listLag = settings.listLag();
	}

	/**
	 * Makes orders late and answers lost.
	 * @param late the share of orders that arrive seconds late
	 * @param lost the share of orders whose answer is lost
	 */
	public void faults(double late, double lost) {
		this.lateOrders = late;
		this.lostAnswers = lost;
	}

	/**
	 * Changes how far the VM list lags.
	 * @param lag the lag
	 */
	public void listLag(Duration lag) {
		this.listLag = lag;
	}

	/**
	 * Ends a VM. The rest of its replica notices soon after.
	 * @param engine the VM
	 * @param refuses whether its address refuses connections from now on
	 */
	public void die(TrialEngine engine, boolean refuses) {
		List<VmName> members = engine.members();
		engine.group().ifPresent((group) -> this.trial.at(FABRIC_NOTICES, () -> {
			for (VmName vm : members) {
				this.engines.get(vm).failGroup(group);
			}
		}));
		engine.die(refuses);
	}

	/**
	 * Pauses a VM.
	 * @param engine the VM
	 * @param time for how long
	 */
	public void pause(TrialEngine engine, Duration time) {
		bound(List.of(engine), time, true);
		engine.pause(this.trial.now().plus(time));
	}

	/**
	 * Ends VMs for a while, together.
	 * @param struck the VMs
	 * @param refuses whether their addresses refuse connections
	 * @param time after which they start again in no group
	 */
	public void outage(List<TrialEngine> struck, boolean refuses, Duration time) {
		bound(struck, time, false);
		for (TrialEngine engine : struck) {
			die(engine, refuses);
			this.trial.at(time, engine::restart);
		}
	}

	// A struck group can serve again after a report and a load if VMs that no group has
	// can
	// take the lost places in its domain, or hold it whole in another; else when its VMs
	// are back and loaded.
	private void bound(List<TrialEngine> struck, Duration time, boolean comesBackLoaded) {
		Duration repair = this.settings.policy().observation().reportInterval().plus(this.settings.load());
		Map<FabricDomain, Integer> free = new HashMap<>();
		for (TrialEngine engine : this.engines.values()) {
			if (!engine.isDown() && engine.group().isEmpty() && !struck.contains(engine)) {
				free.merge(engine.domain(), 1, Integer::sum);
			}
		}
		Map<GroupIdentity, List<TrialEngine>> groups = struck.stream()
			.filter((engine) -> engine.state() == EngineState.READY)
			.collect(Collectors.groupingBy((engine) -> engine.group().orElseThrow()));
		for (List<TrialEngine> lost : groups.values()) {
			Duration back = comesBackLoaded ? time : time.plus(this.settings.load());
			boolean replaced = takes(free, lost.get(0).domain(), lost.size()) || free.keySet()
				.stream()
				.toList()
				.stream()
				.anyMatch((domain) -> takes(free, domain, lost.get(0).members().size()));
			Duration bound = (replaced && repair.compareTo(back) < 0) ? repair : back;
			this.trial.figures().bound(bound);
		}
	}

	private static boolean takes(Map<FabricDomain, Integer> free, FabricDomain domain, int vms) {
		int left = free.getOrDefault(domain, 0) - vms;
		if (left >= 0) {
			free.put(domain, left);
		}
		return left >= 0;
	}

	void advance() {
		Instant now = this.trial.now();
		long loading = this.engines.values().stream().filter((each) -> each.state() == EngineState.LOADING).count();
		double rate = Math.min(1.0, this.settings.storeLoads() / (double) Math.max(1, loading));
		this.engines.values().forEach((engine) -> engine.advance(now, GroupTrial.STEP, rate));
		if (this.lists.isEmpty() || !this.lists.peekLast().at.plus(LIST_INTERVAL).isAfter(now)) {
			List<VmEntry> entries = new ArrayList<>();
			this.engines.values()
				.stream()
				.filter((each) -> !each.isDown())
				.forEach((each) -> entries.add(each.entry()));
			this.lists.addLast(new Snapshot(now, entries));
		}
		while (this.lists.size() > 1 && second().at.plus(this.listLag).isBefore(now)) {
			this.lists.removeFirst();
		}
	}

	private Snapshot second() {
		return this.lists.stream().skip(1).findFirst().orElseThrow();
	}

	void carryOut(TrialNode node, TargetEffect effect) {
		if (effect instanceof TargetEffect.ReadVmList read) {
			this.trial.at(LINK, () -> this.trial.deliver(node, list(read.dataCentre())));
		}
		else if (effect instanceof TargetEffect.AskReport ask) {
			this.trial.traffic().ask(node);
			ask(node, ask);
		}
		else if (effect instanceof TargetEffect.SendOrder order) {
			this.trial.at(Duration.ofMillis(1), () -> send(node, order));
		}
	}

	private TargetEvent list(DataCentreName dataCentre) {
		if (this.lists.isEmpty()) {
			return new TargetEvent.VmListFailed(dataCentre);
		}
		List<VmEntry> entries = this.lists.peekFirst().entries.stream()
			.filter((entry) -> entry.dataCentre().equals(dataCentre))
			.toList();
		return new TargetEvent.VmListRead(dataCentre, entries);
	}

	private void ask(TrialNode node, TargetEffect.AskReport ask) {
		TrialEngine engine = this.engines.get(ask.vm());
		Instant askedAt = node.clock(this.trial.now());
		if (node.reaches(ask.vm()) && engine.refusesConnections()) {
			this.trial.at(LINK, () -> this.trial.deliver(node, new TargetEvent.ReportFailed(ask.vm(), true)));
		}
		else if (!node.reaches(ask.vm()) || !engine.answers(this.trial.now())) {
			this.trial.at(ASK_TIMEOUT, () -> this.trial.deliver(node, new TargetEvent.ReportFailed(ask.vm(), false)));
		}
		else {
			VmReport report = engine.report();
			this.trial.at(LINK, () -> this.trial.deliver(node, new TargetEvent.ReportReceived(report, askedAt)));
		}
	}

	private void send(TrialNode node, TargetEffect.SendOrder order) {
		Instant now = this.trial.now();
		if (!node.runs(now)) {
			node.held().add(() -> send(node, order));
			return;
		}
		if (node.clock(now).isAfter(order.notAfter())) {
			this.trial.deliver(node, new TargetEvent.OrderAnswered(order.call(), EngineCommandResult.REFUSED));
			return;
		}
		boolean late = this.trial.random().nextDouble() < this.lateOrders;
		Duration delay = late ? Duration.ofMillis(this.trial.random().nextInt(LATEST_MILLISECONDS)) : LINK;
		this.trial.at(delay, () -> arrive(node, order));
	}

	private void arrive(TrialNode node, TargetEffect.SendOrder order) {
		TrialEngine engine = this.engines.get(order.vm());
		boolean reached = node.reaches(order.vm()) && engine.answers(this.trial.now());
		if (reached) {
			int before = engine.running();
			EngineCommandResult result = engine.order(order.command(), this.settings.load());
			this.trial.check().ordered(engine, before);
			if (this.trial.random().nextDouble() >= this.lostAnswers) {
				this.trial.at(LINK,
						() -> this.trial.deliver(node, new TargetEvent.OrderAnswered(order.call(), result)));
				return;
			}
		}
		this.trial.at(ASK_TIMEOUT, () -> this.trial.deliver(node,
				new TargetEvent.OrderAnswered(order.call(), EngineCommandResult.NOT_KNOWN)));
	}

	private record Snapshot(Instant at, List<VmEntry> entries) {

	}

}
