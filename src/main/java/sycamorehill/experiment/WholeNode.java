package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Step;
import sycamorehill.logic.node.NodeReducer;
import sycamorehill.logic.node.NodeState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.standin.ObjectStore;

/**
 * One whole node as a value, alone in its data centre, so that it carries every duty
 * there is; everything outside answers at once. For measuring what decisions cost.
 */
final class WholeNode {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final int TOKENS = 64;

	private final NodeReducer reducer = NodeReducer.create();

	private final ObjectStore platform = ObjectStore.create();

	private final Map<VmName, VmReport> engines = new HashMap<>();

	private final List<VmEntry> vmList;

	private final Deque<Event> waiting = new ArrayDeque<>();

	private final Map<PlatformEffect.Call, Instant> watches = new HashMap<>();

	private Instant now = Instant.EPOCH;

	private NodeState state;

	private long platformCalls;

	private long completed;

	private WholeNode(NodeIdentity self, List<VmEntry> vmList) {
		this.state = NodeState.initial(self, Policy.standard());
		this.vmList = List.copyOf(vmList);
		for (VmEntry entry : vmList) {
			this.engines.put(entry.name(), report(entry.name(), EngineState.IDLE, Optional.empty()));
		}
	}

	static WholeNode start(NodeIdentity self, List<VmEntry> vmList) {
		WholeNode node = new WholeNode(self, vmList);
		node.feed(new NodeEvent.Started(1));
		return node;
	}

	void advance(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plus(TICK);
			answerWatches();
			feed(new NodeEvent.Ticked(this.now));
		}
	}

	void feed(Event event) {
		this.waiting.add(event);
		while (!this.waiting.isEmpty()) {
			Step<NodeState> step = this.reducer.reduce(this.state, this.now, this.waiting.poll());
			this.state = step.state();
			step.effects().forEach(this::carryOut);
		}
	}

	void request(RequestDescription request) {
		feed(new RequestEvent.Arrived(request));
	}

	NodeState state() {
		return this.state;
	}

	Instant now() {
		return this.now;
	}

	long platformCalls() {
		return this.platformCalls;
	}

	long completed() {
		return this.completed;
	}

	private void carryOut(Effect effect) {
		if (effect instanceof PlatformEffect.Call call) {
			call(call);
		}
		else if (effect instanceof TargetEffect.AskReport ask) {
			this.waiting.add(new TargetEvent.ReportReceived(this.engines.get(ask.vm()), this.now));
		}
		else if (effect instanceof TargetEffect.SendOrder order) {
			obey(order);
		}
		else if (effect instanceof TargetEffect.ReadVmList list) {
			this.waiting.add(new TargetEvent.VmListRead(list.dataCentre(), this.vmList));
		}
		else if (effect instanceof RequestEffect.StartAttempt start) {
			this.waiting.add(new RequestEvent.FirstToken(start.attempt()));
			this.waiting.add(new RequestEvent.AttemptEnded(start.attempt(), TOKENS,
					new AttemptResult.Completed(TOKENS, Optional.empty())));
		}
		else if (effect instanceof RequestEffect.FinishRequest) {
			this.completed++;
		}
	}

	private void call(PlatformEffect.Call call) {
		this.platformCalls++;
		if (call.request() instanceof PlatformRequest.Watch watch) {
			this.watches.put(call, this.now.plus(watch.maximumWait()));
		}
		else {
			answer(call);
		}
	}

	private void answerWatches() {
		List<PlatformEffect.Call> due = new ArrayList<>();
		this.watches.forEach((call, until) -> {
			if (!until.isAfter(this.now)) {
				due.add(call);
			}
		});
		due.forEach((call) -> {
			this.watches.remove(call);
			answer(call);
		});
	}

	private void answer(PlatformEffect.Call call) {
		this.waiting.add(new PlatformEvent.Answered(call.call(), this.platform.call(call.request()), this.now));
	}

	private void obey(TargetEffect.SendOrder order) {
		boolean join = order.command() instanceof EngineCommand.Join;
		Optional<GroupIdentity> group = join ? Optional.of(((EngineCommand.Join) order.command()).group())
				: Optional.empty();
		this.engines.put(order.vm(), report(order.vm(), join ? EngineState.READY : EngineState.IDLE, group));
		this.waiting.add(new TargetEvent.OrderAnswered(order.call(), EngineCommandResult.ACCEPTED));
	}

	private VmReport report(VmName vm, EngineState engineState, Optional<GroupIdentity> group) {
		long sequence = (this.engines.get(vm) != null) ? this.engines.get(vm).sequence() + 1 : 1;
		return new VmReport(vm, "instance", engineState, group, false, 0, 0, 0, 1_000_000, sequence);
	}

}
