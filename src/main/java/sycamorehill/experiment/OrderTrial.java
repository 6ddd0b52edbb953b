package sycamorehill.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.HdrHistogram.Histogram;
import org.pcollections.TreePMap;

import sycamorehill.json.ModelJson;
import sycamorehill.logic.Step;
import sycamorehill.logic.order.OrderReducer;
import sycamorehill.logic.order.OrderState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.standin.ObjectStore;

/**
 * Runs the order part of several nodes over one object store in virtual time. Orders come
 * at an even rate; each is run by a target that takes 20 to 80 ms.
 */
final class OrderTrial {

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration DEADLINE = Duration.ofSeconds(30);

	private static final Duration LAST_SETTLEMENTS = Duration.ofSeconds(10);

	private static final OrderReducer REDUCER = OrderReducer.create();

	private static final RecordedAnswer ANSWER = new RecordedAnswer(200, "application/json",
			"{\"order\": 4711, \"status\": \"booked\", \"delivery\": \"before the trucks load, gate 3\"}");

	private final OrderTrialSetting setting;

	private final Random random;

	private final ObjectStore store = ObjectStore.create();

	private final ObjectMapper json = ModelJson.json();

	private final ObjectMapper messagePack = ModelJson.messagePack();

	private final List<OrderTrialView> nodes = new ArrayList<>();

	private final List<OrderState> states = new ArrayList<>();

	private final Map<RequestIdentifier, Instant> waiting = new HashMap<>();

	private final PriorityQueue<Entry> schedule = new PriorityQueue<>(
			Comparator.comparing(Entry::at).thenComparingLong(Entry::order));

	private final Histogram claimMillis = new Histogram(3);

	private final OrderTrialCounts counts = new OrderTrialCounts();

	private Instant now = Instant.EPOCH;

	private long scheduled;

	private OrderTrial(OrderTrialSetting setting) {
		this.setting = setting;
		this.random = new Random(setting.seed());
		startNodes();
	}

	static OrderTrialResult run(OrderTrialSetting setting) {
		OrderTrial trial = new OrderTrial(setting);
		trial.run();
		return new OrderTrialResult(setting, trial.counts, trial.claimMillis);
	}

	private void startNodes() {
		TreePMap<NodeName, LiveNode> alive = TreePMap.empty();
		List<NodeIdentity> identities = new ArrayList<>();
		for (int i = 1; i <= this.setting.nodes(); i++) {
			NodeIdentity identity = new NodeIdentity(NodeIncarnation.of(NodeName.of("n" + i), 1),
					DataCentreName.of("here"), Address.of("10.0.0.1", i));
			identities.add(identity);
			alive = alive.plus(identity.incarnation().node(), new LiveNode(identity, false, Instant.EPOCH));
		}
		LiveNodes seen = this.setting.keepers() ? new LiveNodes(alive) : LiveNodes.empty();
		for (NodeIdentity identity : identities) {
			this.nodes.add(new OrderTrialView(identity, policy(), seen));
			this.states.add(OrderState.initial());
		}
	}

	private Policy policy() {
		return Policy.standard().withOrder(this.setting.policy());
	}

	private void run() {
		for (int i = 0; i < this.nodes.size(); i++) {
			tick(i);
		}
		long orders = this.setting.length().toSeconds() * this.setting.ordersPerSecond();
		for (long i = 0; i < orders; i++) {
			long number = i;
			after(Duration.ofNanos(1_000_000_000L * i / this.setting.ordersPerSecond()), () -> order(number));
		}
		Instant end = this.now.plus(this.setting.length()).plus(LAST_SETTLEMENTS);
		while (!this.schedule.isEmpty() && this.schedule.peek().at().isBefore(end)) {
			Entry entry = this.schedule.poll();
			this.now = entry.at();
			entry.work().run();
		}
	}

	private void order(long number) {
		int node = this.random.nextInt(this.nodes.size());
		String text = "order of a caller " + number;
		if (this.random.nextDouble() < this.setting.issuedShare()) {
			int issuer = this.random.nextInt(this.nodes.size());
			text = OrderNumbers.issue(this.nodes.get(issuer).self().incarnation(), this.now, this.random.nextLong());
		}
		OrderKey key = OrderNumbers.encodeOrigin(new OrderKey(this.random.nextLong(), this.random.nextLong()), text);
		RequestIdentifier identifier = RequestIdentifier.of(this.nodes.get(node).self().incarnation(), number);
		RequestDescription request = new RequestDescription(identifier, "", ServiceName.of("desk"), "POST", "/orders",
				0, 0, List.of(), Priority.NORMAL, this.now.plus(DEADLINE), Optional.of(key),
				new Fingerprint("00112233445566778899aabbccddeeff"));
		this.counts.orders++;
		this.counts.duringOutage += down() ? 1 : 0;
		this.waiting.put(identifier, this.now);
		feed(node, new RequestEvent.Admitted(request, Idempotency.ONCE_WITH_KEY));
	}

	private boolean down() {
		return this.setting.down(Duration.between(Instant.EPOCH, this.now));
	}

	private void tick(int node) {
		after(TICK, () -> {
			feed(node, new NodeEvent.Ticked(this.now));
			tick(node);
		});
	}

	private void feed(int node, Event event) {
		Step<OrderState> step = REDUCER.reduce(this.states.get(node), this.now, event, this.nodes.get(node));
		this.states.set(node, step.state());
		for (Effect effect : step.effects()) {
			if (effect instanceof NodeEffect.Raise raise) {
				raised(node, raise.event());
			}
			else if (effect instanceof PeerEffect.Send send) {
				send(node, send);
			}
			else if (effect instanceof PlatformEffect.Call call) {
				call(node, call);
			}
		}
	}

	private void raised(int node, Event event) {
		if (event instanceof RequestEvent.Cleared cleared) {
			Instant arrived = this.waiting.remove(cleared.request().identifier());
			this.claimMillis.recordValue(Duration.between(arrived, this.now).toMillis());
			this.counts.cleared++;
			this.counts.clearedOfOutage += this.setting.down(Duration.between(Instant.EPOCH, arrived)) ? 1 : 0;
			after(Duration.ofMillis(20 + this.random.nextInt(60)),
					() -> feed(node, new RequestEvent.Finished(cleared.request(), Idempotency.ONCE_WITH_KEY,
							new RequestOutcome.Completed(), 0, Optional.of(ANSWER))));
		}
	}

	private void send(int from, PeerEffect.Send send) {
		this.counts.messages++;
		this.counts.messageBytes += size(this.messagePack, send.message());
		int to = send.to().peerAddress().port() - 1;
		PeerEvent received = new PeerEvent.MessageReceived(this.nodes.get(from).self(), send.message());
		after(Duration.of(300 + this.random.nextInt(4700), ChronoUnit.MICROS), () -> feed(to, received));
	}

	private void call(int node, PlatformEffect.Call call) {
		Instant sentAt = this.now;
		PlatformAnswer[] answer = new PlatformAnswer[1];
		after(Duration.of(1000 + this.random.nextInt(3000), ChronoUnit.MICROS), () -> {
			answer[0] = down() ? new PlatformAnswer.NotTaken(Duration.ZERO, "outage") : this.store.call(call.request());
			count(call.request(), answer[0]);
			after(Duration.of(1000 + this.random.nextInt(3000), ChronoUnit.MICROS),
					() -> feed(node, new PlatformEvent.Answered(call.call(), answer[0], sentAt)));
		});
	}

	private void count(PlatformRequest request, PlatformAnswer answer) {
		if (request instanceof PlatformRequest.ListObjects) {
			this.counts.reads++;
			return;
		}
		this.counts.writes++;
		this.counts.conflicts += (answer instanceof PlatformAnswer.Conflict) ? 1 : 0;
		PlatformValue value = (request instanceof PlatformRequest.Update update) ? update.value()
				: ((PlatformRequest.Create) request).value();
		int bytes = size(this.json, value);
		this.counts.writtenBytes += bytes;
		this.counts.largestObject = Math.max(this.counts.largestObject, bytes);
	}

	private static int size(ObjectMapper mapper, Object value) {
		try {
			return mapper.writeValueAsBytes(value).length;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void after(Duration delay, Runnable work) {
		this.schedule.add(new Entry(this.now.plus(delay), this.scheduled++, work));
	}

	private record Entry(Instant at, long order, Runnable work) {
	}

}
