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
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Nodes of two data centres that send requests to a target in need, "p1", and to a sound
 * one. Messages between them are late and some are lost.
 */
class SharedLimitTests {

	private static final TargetName IN_NEED = TargetName.of("p1");

	private static final Duration STEP = Duration.ofMillis(10);

	/** From here on a node that was told must keep to the limit. */
	private static final Duration KEPT_FROM = Duration.ofMillis(500);

	private static final Duration WINDOW = Duration.ofSeconds(4);

	/** A limit is judged from here on. */
	private static final Duration JUDGED_FROM = Duration.ofSeconds(3);

	private static final double EXCESS = 1.5;

	private static final int EXTRA = 5;

	private final Map<String, EntryReducer> nodes = new LinkedHashMap<>();

	private final Map<Address, String> names = new HashMap<>();

	private final PriorityQueue<Due> due = new PriorityQueue<>((one, other) -> one.at().compareTo(other.at()));

	private final Random random = new Random(11);

	private final Map<String, Instant> firstTold = new HashMap<>();

	/** When the target in need got a request of a node that must keep to its limit. */
	private final List<Instant> counted = new ArrayList<>();

	/** Nodes that gave the target a request. */
	private final Set<String> givingWork = new HashSet<>();

	private final Set<String> down = new HashSet<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private Optional<RequestRate> limit = Optional.empty();

	private Duration answerTime = Duration.ofMillis(60);

	private double lossShare;

	private long lastRequest;

	private boolean callers = true;

	private int refused;

	private void start(int number) {
		IntStream.range(0, number).forEach((node) -> {
			EntrySettings settings = settings(node);
			this.names.put(settings.neighbours(), settings.nodeName());
			this.nodes.put(settings.nodeName(),
					EntryReducer.of(settings, settings.nodeName() + "#1", new Random(node), this.now));
		});
		this.nodes.keySet().forEach((node) -> {
			accept(node, new EntryEvent.ConfigurationRead(ServingSamples.configuration(1)));
			accept(node,
					new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2")), 1));
			accept(node, new EntryEvent.NodesListed(
					IntStream.range(0, number).mapToObj((each) -> settings(each).record()).toList()));
		});
	}

	private static EntrySettings settings(int number) {
		return ServingSamples.settings(number, (number % 2 == 0) ? "north" : "south");
	}

	private void accept(String node, EntryEvent event) {
		for (EntryEffect effect : this.nodes.get(node).accept(event, this.now)) {
			if (effect instanceof EntryEffect.Tell tell) {
				tell.nodes().forEach((to) -> later(this.names.get(to), tell.message()));
			}
			else if (effect instanceof EntryEffect.StartAttempt start) {
				started(node, start);
			}
			else if (effect instanceof EntryEffect.Answer) {
				this.refused++;
			}
		}
	}

	private void later(String node, NodeMessage message) {
		if (this.random.nextDouble() >= this.lossShare) {
			this.due.add(new Due(this.now.plusMillis(1 + this.random.nextInt(20)), node,
					new EntryEvent.MessageHeard(message)));
		}
	}

	private void started(String node, EntryEffect.StartAttempt start) {
		TargetName target = start.target().name();
		boolean inNeed = target.equals(IN_NEED);
		if (inNeed) {
			this.givingWork.add(node);
		}
		Instant told = this.firstTold.get(node);
		if (inNeed && told != null && !this.now.isBefore(told.plus(KEPT_FROM))) {
			this.counted.add(this.now);
		}
		Instant answered = this.now.plus(this.answerTime);
		this.due.add(new Due(answered, node, new EntryEvent.TargetTold(start.number(), target, Optional.empty(),
				inNeed ? this.limit : Optional.empty())));
		this.due.add(new Due(answered.plusNanos(1), node, new EntryEvent.AttemptEnded(start.number(), start.attempt(),
				new AttemptEnd.Delivered(200, Duration.ZERO))));
	}

	// Each node gets a request each 100 ms, and looks around as often.
	private void run(Duration time) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end); this.now = this.now.plus(STEP)) {
			deliver();
			int phase = 0;
			for (String node : this.nodes.keySet()) {
				if (!this.down.contains(node) && (this.now.toEpochMilli() / STEP.toMillis() + phase++) % 10 == 0) {
					accept(node, new EntryEvent.Ticked());
					if (this.callers) {
						accept(node, new EntryEvent.RequestArrived(
								ServingSamples.request(++this.lastRequest, "/again/" + this.lastRequest)));
					}
				}
			}
		}
	}

	private void deliver() {
		while (!this.due.isEmpty() && !this.due.peek().at().isAfter(this.now)) {
			Due next = this.due.poll();
			if (next.event() instanceof EntryEvent.TargetTold told && told.limit().isPresent()) {
				this.firstTold.putIfAbsent(next.node(), this.now);
			}
			if (!this.down.contains(next.node())) {
				accept(next.node(), next.event());
			}
		}
	}

	private int mostInAWindow(Instant from) {
		List<Instant> sent = this.counted.stream().filter((at) -> !at.isBefore(from)).toList();
		int most = 0;
		for (int first = 0; first < sent.size(); first++) {
			Instant end = sent.get(first).plus(WINDOW);
			most = Math.max(most, (int) sent.stream().skip(first).filter((at) -> at.isBefore(end)).count());
		}
		return most;
	}

	private static int allowed(double perSecond) {
		return (int) (EXCESS * perSecond * WINDOW.toSeconds()) + EXTRA;
	}

	// Each node keeps to the limit by itself, and all together send many times as much.
	@ParameterizedTest
	@CsvSource({ "3,0", "3,0.3", "6,0.5", "6,1.1", "6,1.4", "9,1", "9,5", "20,0.4", "20,1.4", "20,12", "67,1", "67,8" })
	void allNodesTogetherKeepToTheLimit(int number, double perSecond) {
		this.lossShare = 0.1;
		start(number);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(perSecond));
		Instant named = this.now;
		run(Duration.ofSeconds(30));
		assertThat(mostInAWindow(named.plus(JUDGED_FROM).minus(WINDOW))).isLessThanOrEqualTo(allowed(perSecond));
		assertThat(this.counted.size()).as("what the target takes is used").isGreaterThan((int) (perSecond * 30 / 2));
	}

	// The limit is forgotten by each node at the same moment, and all send at once.
	@Test
	void aTargetThatAsksForNothingIsAskedByFewNodes() {
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(0));
		Instant named = this.now;
		run(Duration.ofSeconds(60));
		assertThat(mostInAWindow(named.plus(JUDGED_FROM).minus(WINDOW))).isLessThanOrEqualTo(EXTRA);
	}

	// The limit named next is lower, and nodes go on by the one before.
	@Test
	void allNodesFollowALowerLimit() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(20));
		run(Duration.ofSeconds(10));
		this.limit = Optional.of(new RequestRate(2));
		Instant lower = this.now;
		run(Duration.ofSeconds(10));
		assertThat(mostInAWindow(lower.plus(JUDGED_FROM))).isLessThanOrEqualTo(allowed(2));
	}

	// A target that is in need no more stands idle, because few nodes ask it.
	@Test
	void allNodesUseATargetAgainThatNamesNoLimitAnyMore() {
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(10));
		this.limit = Optional.empty();
		run(Duration.ofSeconds(8));
		int before = this.counted.size();
		run(Duration.ofSeconds(5));
		assertThat(this.counted.size() - before).isGreaterThan(200);
	}

	// Nobody asks the target for a while, all nodes forget its limit, and all ask at
	// once.
	@Test
	void aLimitOutlastsATimeWithoutRequests() {
		this.answerTime = Duration.ofMillis(500);
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(5));
		this.callers = false;
		run(Duration.ofSeconds(30));
		this.callers = true;
		Instant again = this.now;
		run(Duration.ofSeconds(5));
		assertThat(mostInAWindow(again)).isLessThanOrEqualTo(allowed(1));
	}

	// Some nodes are not told that a limit is over, and leave a sound target alone.
	@Test
	void allNodesHearThatALimitIsOverThoughMessagesAreLost() {
		this.lossShare = 0.3;
		start(20);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(10));
		this.limit = Optional.empty();
		run(Duration.ofSeconds(16));
		this.givingWork.clear();
		run(Duration.ofSeconds(3));
		assertThat(this.givingWork).containsAll(this.nodes.keySet());
	}

	// Callers of nodes that don't share the target are served by the others.
	@Test
	void nobodyIsRefusedWhileAnotherTargetServes() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		this.refused = 0;
		run(Duration.ofSeconds(10));
		assertThat(this.refused).isZero();
	}

	// A node that shared the target ends, and its part is used by nobody for good.
	@Test
	void aPartOfANodeThatIsGoneGoesToOthers() {
		start(6);
		run(Duration.ofSeconds(2));
		this.limit = Optional.of(new RequestRate(1));
		run(Duration.ofSeconds(5));
		this.down.addAll(List.of("north-100", "south-101", "north-102"));
		run(Duration.ofSeconds(8));
		int before = this.counted.size();
		run(Duration.ofSeconds(20));
		assertThat(this.counted.size() - before).isBetween(14, 25);
	}

	/**
	 * What a node is given later.
	 *
	 * @param at when
	 * @param node the node
	 * @param event what
	 */
	private record Due(Instant at, String node, EntryEvent event) {
	}

}
