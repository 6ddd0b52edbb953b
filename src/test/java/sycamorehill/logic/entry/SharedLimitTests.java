package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests nodes of two data centres that send requests to a rate-limited target, "p1", and
 * to a healthy one. Messages between the nodes are delayed, and some are lost.
 */
class SharedLimitTests {

	private static final TargetName LIMITED_TARGET = TargetName.of("p1");

	private static final Duration STEP = Duration.ofMillis(10);

	/** Time after receiving the limit from which a node must keep to it. */
	private static final Duration COMPLIANCE_DELAY = Duration.ofMillis(500);

	private static final Duration WINDOW = Duration.ofSeconds(4);

	/** Time after a limit is set from which the requests of all nodes must keep to it. */
	private static final Duration MEASUREMENT_DELAY = Duration.ofSeconds(3);

	private static final double ALLOWED_FACTOR = 1.5;

	private static final int ALLOWED_EXTRA_REQUESTS = 5;

	private final Map<String, EntryReducer> nodes = new LinkedHashMap<>();

	private final Map<Address, String> names = new HashMap<>();

	private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>(
			(one, other) -> one.at().compareTo(other.at()));

	private final Random random = new Random(11);

	private final Map<String, Instant> firstLimitReceivedAt = new HashMap<>();

	/** When the limited target was sent requests by nodes that must keep to its limit. */
	private final List<Instant> countedRequests = new ArrayList<>();

	/** Nodes that sent the limited target a request. */
	private final Set<String> nodesUsingLimitedTarget = new HashSet<>();

	private final Set<String> down = new HashSet<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private Optional<RequestRate> limit = Optional.empty();

	private Duration answerTime = Duration.ofMillis(60);

	private double lossShare;

	private long lastRequest;

	private boolean callersActive = true;

	private int refusals;

	private void start(int number) {
		IntStream.range(0, number).forEach((node) -> {
			EntrySettings settings = settings(node);
			this.names.put(settings.peerAddress(), settings.nodeName());
			this.nodes.put(settings.nodeName(),
					EntryReducer.of(settings, settings.nodeName() + "#1", new Random(node), this.now));
		});
		this.nodes.keySet().forEach((node) -> {
			accept(node, new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1));
			accept(node,
					new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2")), 1));
			accept(node, new EntryEvent.NodesListed(
					IntStream.range(0, number).mapToObj((each) -> settings(each).toNodeRecord()).toList()));
		});
	}

	private static EntrySettings settings(int number) {
		return ServingSamples.settings(number, (number % 2 == 0) ? "north" : "south");
	}

	private void accept(String node, EntryEvent event) {
		for (EntryEffect effect : this.nodes.get(node).accept(event, this.now)) {
			if (effect instanceof EntryEffect.Send send) {
				send.nodes().forEach((to) -> deliverLater(this.names.get(to), send.message()));
			}
			else if (effect instanceof EntryEffect.StartAttempt start) {
				handleStartedAttempt(node, start);
			}
			else if (effect instanceof EntryEffect.Answer) {
				this.refusals++;
			}
		}
	}

	private void deliverLater(String node, NodeMessage message) {
		if (this.random.nextDouble() >= this.lossShare) {
			this.scheduledEvents.add(new ScheduledEvent(this.now.plusMillis(1 + this.random.nextInt(20)), node,
					new EntryEvent.MessageReceived(message)));
		}
	}

	private void handleStartedAttempt(String node, EntryEffect.StartAttempt start) {
		TargetName target = start.target().name();
		boolean limited = target.equals(LIMITED_TARGET);
		if (limited) {
			this.nodesUsingLimitedTarget.add(node);
		}
		Instant receivedAt = this.firstLimitReceivedAt.get(node);
		if (limited && receivedAt != null && !this.now.isBefore(receivedAt.plus(COMPLIANCE_DELAY))) {
			this.countedRequests.add(this.now);
		}
		Instant answeredAt = this.now.plus(this.answerTime);
		this.scheduledEvents.add(new ScheduledEvent(answeredAt, node, new EntryEvent.TargetReported(start.number(),
				target,
				new TargetReport(Optional.empty(), limited ? this.limit : Optional.empty(), Optional.empty(), false))));
		this.scheduledEvents
			.add(new ScheduledEvent(answeredAt.plusNanos(1), node, new EntryEvent.AttemptEnded(start.number(),
					start.attempt(), new AttemptEnd.Delivered(200, Duration.ZERO))));
	}

	// Each node receives a request and a tick each 100 ms.
	private void run(Duration time) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end); this.now = this.now.plus(STEP)) {
			deliver();
			int phase = 0;
			for (String node : this.nodes.keySet()) {
				if (!this.down.contains(node) && (this.now.toEpochMilli() / STEP.toMillis() + phase++) % 10 == 0) {
					accept(node, new EntryEvent.Ticked());
					if (this.callersActive) {
						accept(node, new EntryEvent.RequestArrived(
								ServingSamples.request(++this.lastRequest, "/again/" + this.lastRequest)));
					}
				}
			}
		}
	}

	private void deliver() {
		while (!this.scheduledEvents.isEmpty() && !this.scheduledEvents.peek().at().isAfter(this.now)) {
			ScheduledEvent next = this.scheduledEvents.poll();
			if (next.event() instanceof EntryEvent.TargetReported report && report.report().rateLimit().isPresent()) {
				this.firstLimitReceivedAt.putIfAbsent(next.node(), this.now);
			}
			if (!this.down.contains(next.node())) {
				accept(next.node(), next.event());
			}
		}
	}

	private int maximumInWindow(Instant from) {
		List<Instant> sent = this.countedRequests.stream().filter((at) -> !at.isBefore(from)).toList();
		int maximum = 0;
		for (int first = 0; first < sent.size(); first++) {
			Instant end = sent.get(first).plus(WINDOW);
			maximum = Math.max(maximum, (int) sent.stream().skip(first).filter((at) -> at.isBefore(end)).count());
		}
		return maximum;
	}

	private static int allowedInWindow(double perSecond) {
		return (int) (ALLOWED_FACTOR * perSecond * WINDOW.toSeconds()) + ALLOWED_EXTRA_REQUESTS;
	}

	// If each node kept to the limit only by itself, all together would send many times
	// as much.
	@ParameterizedTest
	@CsvSource({ "3,0", "3,0.3", "6,0.5", "6,1.1", "6,1.4", "9,1", "9,5", "20,0.4", "20,1.4", "20,12", "67,1", "67,8" })
	void allNodesTogetherKeepToTheLimit(int number, double perSecond) {
		this.lossShare = 0.1;
		start(number);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(perSecond));
		Instant limitSetAt = this.now;
		run(Duration.ofSeconds(30));
		assertThat(maximumInWindow(limitSetAt.plus(MEASUREMENT_DELAY).minus(WINDOW)))
			.isLessThanOrEqualTo(allowedInWindow(perSecond));
		assertThat(this.countedRequests.size()).as("what the target takes is used")
			.isGreaterThan((int) (perSecond * 30 / 2));
	}

	// If all nodes discarded the limit at the same moment, all would send at once.
	@Test
	void aTargetWithALimitOfZeroIsProbedByFewNodes() {
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(0));
		Instant limitSetAt = this.now;
		run(Duration.ofSeconds(60));
		assertThat(maximumInWindow(limitSetAt.plus(MEASUREMENT_DELAY).minus(WINDOW)))
			.isLessThanOrEqualTo(ALLOWED_EXTRA_REQUESTS);
	}

	// The target reports a lower limit: nodes must not keep applying the one before.
	@Test
	void allNodesFollowALowerLimit() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(20));
		run(Duration.ofSeconds(10));
		this.limit = Optional.of(new RequestRate(2));
		Instant loweredAt = this.now;
		run(Duration.ofSeconds(10));
		assertThat(maximumInWindow(loweredAt.plus(MEASUREMENT_DELAY))).isLessThanOrEqualTo(allowedInWindow(2));
	}

	// A target that reports no limit any more must not stay idle because few nodes send
	// it requests.
	@Test
	void allNodesUseATargetAgainOnceItReportsNoLimit() {
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(10));
		this.limit = Optional.empty();
		run(Duration.ofSeconds(8));
		int before = this.countedRequests.size();
		run(Duration.ofSeconds(5));
		assertThat(this.countedRequests.size() - before).isGreaterThan(200);
	}

	// No node sends requests to the target for a while. If all nodes discarded its limit
	// meanwhile, all would send at once afterwards.
	@Test
	void aLimitStaysInEffectWhileThereAreNoRequests() {
		this.answerTime = Duration.ofMillis(500);
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(5));
		this.callersActive = false;
		run(Duration.ofSeconds(30));
		this.callersActive = true;
		Instant resumedAt = this.now;
		run(Duration.ofSeconds(5));
		assertThat(maximumInWindow(resumedAt)).isLessThanOrEqualTo(allowedInWindow(1));
	}

	// A node that does not learn the end of a limit would keep avoiding a healthy target.
	@Test
	void allNodesLearnTheEndOfALimitDespiteLostMessages() {
		this.lossShare = 0.3;
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(10));
		this.limit = Optional.empty();
		run(Duration.ofSeconds(16));
		this.nodesUsingLimitedTarget.clear();
		run(Duration.ofSeconds(3));
		assertThat(this.nodesUsingLimitedTarget).containsAll(this.nodes.keySet());
	}

	// Requests at nodes without a share of the limited target are served by the other
	// target.
	@Test
	void noRequestIsRefusedWhileAnotherTargetServes() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		this.refusals = 0;
		run(Duration.ofSeconds(10));
		assertThat(this.refusals).isZero();
	}

	// Nodes with a share of the limit fail: their shares must not stay unused for good.
	@Test
	void theShareOfAFailedNodeIsUsedByOthers() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(5));
		this.down.addAll(List.of("north-100", "south-101", "north-102"));
		run(Duration.ofSeconds(8));
		int before = this.countedRequests.size();
		run(Duration.ofSeconds(20));
		assertThat(this.countedRequests.size() - before).isBetween(14, 25);
	}

	/**
	 * Holds an event that a node receives later.
	 *
	 * @param at when the node receives it
	 * @param node the node
	 * @param event the event
	 */
	private record ScheduledEvent(Instant at, String node, EntryEvent event) {
	}

}
