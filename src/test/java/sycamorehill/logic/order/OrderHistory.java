package sycamorehill.logic.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.support.EventSchedule;
import sycamorehill.support.FakePlatform;

/**
 * Simulates several nodes with one platform and one target in virtual time, and records
 * all calls and runs for the checker.
 */
final class OrderHistory {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration DEADLINE = Duration.ofSeconds(30);

	final Random random;

	final FakePlatform platform;

	final EventSchedule<Runnable> schedule = EventSchedule.create();

	final List<OrderNode> nodes = new ArrayList<>();

	final List<Call> calls = new ArrayList<>();

	final List<Run> runs = new ArrayList<>();

	final Map<String, Call> callsByMark = new HashMap<>();

	final HistoryFaults faults = new HistoryFaults();

	String answerPrefix = "run ";

	private final Duration clockSkew;

	private long lastIncarnation = 1;

	private long lastRequest;

	OrderHistory(long seed, int nodeCount, OrderPolicy policy) {
		this.random = new Random(seed);
		this.platform = FakePlatform.create(this.random);
		this.clockSkew = Duration.ofHours(1);
		for (int i = 1; i <= nodeCount; i++) {
			OrderNode node = new OrderNode(i, Duration.ofSeconds(this.random.nextInt(100_000)), policy);
			this.nodes.add(node);
			scheduleTick(node);
		}
		this.nodes.forEach((node) -> updateLiveNodes(node));
	}

	/**
	 * Sends a caller's order to a node.
	 * @param node the node
	 * @param key the idempotency key of the order
	 * @param content the content of the order
	 * @return the call, which records its answers
	 */
	Call call(OrderNode node, OrderKey key, String content) {
		RequestIdentifier identifier = RequestIdentifier.of(node.incarnation(), ++this.lastRequest);
		RequestDescription request = new RequestDescription(identifier, "", ServiceName.of("desk"), "POST", "/orders",
				0, 0, List.of(), Priority.NORMAL, node.clock(now()).plus(DEADLINE), Optional.of(key),
				new Fingerprint(content));
		Call call = new Call(request, node, now());
		this.calls.add(call);
		this.callsByMark.put(identifier.toString(), call);
		node.run(node.incarnation(),
				() -> handleEvent(node, new RequestEvent.Admitted(request, Idempotency.ONCE_WITH_KEY)));
		return call;
	}

	void runFor(Duration time) {
		Instant end = now().plus(time);
		boolean[] ended = { false };
		this.schedule.add(Duration.between(now(), end), () -> ended[0] = true);
		while (!ended[0]) {
			this.schedule.next().orElseThrow().run();
		}
	}

	Instant now() {
		return this.schedule.now();
	}

	void restart(OrderNode node) {
		node.restart(++this.lastIncarnation);
		scheduleTick(node);
		updateLiveNodes(node);
	}

	void resume(OrderNode node) {
		node.resume();
		node.runWaiting();
	}

	void updateLiveNodes(OrderNode node) {
		node.updateLiveNodes(this.nodes.stream()
			.filter((other) -> other == node || !other.paused() && !this.faults.isPartitioned(node, other))
			.map(OrderNode::identity)
			.toList());
	}

	void handleEvent(OrderNode node, Event event) {
		NodeIncarnation incarnation = node.incarnation();
		for (Effect effect : node.reduce(now(), event)) {
			if (effect instanceof NodeEffect.Raise raise) {
				handleRaised(node, raise.event());
			}
			else if (effect instanceof PeerEffect.Send send) {
				send(node, send);
			}
			else if (effect instanceof PlatformEffect.Call call) {
				callPlatform(node, incarnation, call);
			}
		}
	}

	private void scheduleTick(OrderNode node) {
		NodeIncarnation incarnation = node.incarnation();
		Duration wallClock = this.clockSkew.multipliedBy(node.identity().incarnation().node().hashCode() % 3);
		this.schedule.add(TICK, () -> {
			if (!incarnation.equals(node.incarnation())) {
				return;
			}
			if (!node.paused()) {
				handleEvent(node, new NodeEvent.Ticked(Instant.parse("2026-01-01T00:00:00Z").plus(wallClock)));
			}
			scheduleTick(node);
		});
	}

	private void handleRaised(OrderNode node, Event event) {
		if (event instanceof RequestEvent.Refused refused) {
			Call call = this.callsByMark.get(refused.request().toString());
			call.answer(refused.outcome(), now());
			handleEvent(node, new RequestEvent.Finished(call.request, Idempotency.ONCE_WITH_KEY, refused.outcome(), 0,
					Optional.empty()));
		}
		else if (event instanceof RequestEvent.Cleared cleared) {
			Call call = this.callsByMark.get(cleared.request().identifier().toString());
			call.cleared++;
			NodeIncarnation incarnation = node.incarnation();
			this.schedule.add(randomDelay(5), () -> node.run(incarnation, () -> sendToTarget(node, call)));
		}
	}

	// The target refuses the order without running it, or runs it; the answer may be
	// lost.
	private void sendToTarget(OrderNode node, Call call) {
		double draw = this.random.nextDouble();
		if (draw < this.faults.targetRefused) {
			scheduleAnswer(node, call, new RequestOutcome.NotRun(Refusal.of(RefusalReason.TARGET_REFUSED, "full")),
					Optional.empty());
			return;
		}
		Run run = new Run(call, now(), new RecordedAnswer(200, "text/plain", this.answerPrefix + this.runs.size()));
		this.runs.add(run);
		if (draw < this.faults.targetRefused + this.faults.answerLost) {
			scheduleAnswer(node, call, new RequestOutcome.Unknown(Refusal.of(RefusalReason.TARGET_LOST, "broken")),
					Optional.empty());
			return;
		}
		scheduleAnswer(node, call, new RequestOutcome.Completed(), Optional.of(run.answer()));
	}

	private void scheduleAnswer(OrderNode node, Call call, RequestOutcome outcome, Optional<RecordedAnswer> answer) {
		NodeIncarnation incarnation = node.incarnation();
		this.schedule.add(randomDelay(100), () -> node.run(incarnation, () -> {
			call.answer(outcome, now());
			handleEvent(node, new RequestEvent.Finished(call.request, Idempotency.ONCE_WITH_KEY, outcome, 0, answer));
		}));
	}

	private void send(OrderNode from, PeerEffect.Send send) {
		OrderNode to = this.nodes.stream()
			.filter((node) -> node.identity().incarnation().node().equals(send.to().incarnation().node()))
			.findFirst()
			.orElseThrow();
		PeerEvent.MessageReceived received = new PeerEvent.MessageReceived(from.identity(), send.message());
		if (this.faults.isPartitioned(from, to)) {
			NodeIncarnation sender = from.incarnation();
			if (this.random.nextBoolean()) {
				this.schedule.add(randomDelay(20), () -> from.run(sender, () -> handleEvent(from,
						new PeerEvent.SendFailed(send.to().incarnation().node(), send.message()))));
			}
			return;
		}
		int copies = (this.random.nextDouble() < this.faults.messageDuplicated) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			if (this.random.nextDouble() >= this.faults.messageLost) {
				Duration delay = (this.random.nextDouble() < this.faults.messageDelayed) ? randomDelay(6000)
						: randomDelay(8);
				this.schedule.add(delay, () -> to.run(to.incarnation(), () -> handleEvent(to, received)));
			}
		}
	}

	private void callPlatform(OrderNode node, NodeIncarnation incarnation, PlatformEffect.Call call) {
		Instant sentAt = node.clock(now());
		Duration sendDelay = (this.random.nextDouble() < this.faults.callDelayed) ? randomDelay(3000) : Duration.ZERO;
		this.schedule.add(sendDelay, () -> this.platform.call(call.request(), call.timeout())
			.forEach((delivery) -> this.schedule.add(delivery.delay(), () -> {
				PlatformAnswer answer = delivery.apply().get();
				if (answer != null) {
					node.run(incarnation,
							() -> handleEvent(node, new PlatformEvent.Answered(call.call(), answer, sentAt)));
				}
			})));
	}

	Duration randomDelay(int maximumMillis) {
		return Duration.ofMillis(1 + this.random.nextInt(maximumMillis));
	}

	/**
	 * Records one run of an order at the target.
	 *
	 * @param call the call for which the order ran
	 * @param at when the order ran
	 * @param answer the answer of the target
	 */
	record Run(Call call, Instant at, RecordedAnswer answer) {
	}

	/**
	 * Records one call of a caller and its answers.
	 */
	static final class Call {

		final RequestDescription request;

		final OrderNode node;

		final NodeIncarnation incarnation;

		final Instant at;

		final List<RequestOutcome> answers = new ArrayList<>();

		int cleared;

		Instant answeredAt;

		Call(RequestDescription request, OrderNode node, Instant at) {
			this.request = request;
			this.node = node;
			this.incarnation = node.incarnation();
			this.at = at;
		}

		OrderKey key() {
			return this.request.orderKey().orElseThrow();
		}

		String content() {
			return this.request.fingerprint().value();
		}

		Optional<RequestOutcome> outcome() {
			return this.answers.stream().findFirst();
		}

		private void answer(RequestOutcome outcome, Instant now) {
			this.answers.add(outcome);
			this.answeredAt = now;
		}

	}

}
