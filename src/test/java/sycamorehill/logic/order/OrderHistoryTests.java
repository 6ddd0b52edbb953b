package sycamorehill.logic.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.logic.order.OrderHistory.Call;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.policy.OrderPolicy;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RequestOutcome;

/**
 * Checks random histories of orders with all kinds of faults combined. To run more seeds:
 * {@code mvn -o test -Dtest=OrderHistoryTests -Dorder.seeds=5000
 * -Dorder.firstSeed=1000}.
 */
class OrderHistoryTests {

	private static final int NODES = 4;

	private static final int KEYS = 25;

	private static final Duration FAULT_DURATION = Duration.ofSeconds(40);

	private static final OrderPolicy POLICY = OrderPolicies.withShards(3);

	static LongStream seeds() {
		return LongStream.range(0, Long.getLong("order.seeds", 40)).map((i) -> i + Long.getLong("order.firstSeed", 1));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void guaranteesHoldUnderFaults(long seed) {
		OrderHistory history = new OrderHistory(seed, NODES, POLICY);
		List<OrderKey> keys = runWithFaults(history);
		endFaults(history);
		Map<OrderKey, List<Call>> faulty = history.calls.stream().collect(Collectors.groupingBy(Call::key));
		keys.forEach((key) -> history.call(history.nodes.get(0), key, "a"));
		history.runFor(Duration.ofSeconds(15));
		List<Call> last = keys.stream().map((key) -> history.call(history.nodes.get(0), key, "a")).toList();
		history.runFor(Duration.ofSeconds(15));
		Assertions.assertThat(OrderHistoryChecker.check(history)).isEmpty();
		Assertions.assertThat(permanentlyRefusedKeys(history, faulty, last)).isEmpty();
	}

	// Seeds that found faults. Seed 4: a claim was granted late, the answer was
	// lost, and the claim stayed forever. Seed 10: a grant received after a restart
	// was released although the order had run. Seed 53: an owner that did not know
	// the claim confirmed its settlement. Seed 230: a settlement was dropped while
	// the issuer was missing from the live nodes.
	@ParameterizedTest
	@ValueSource(longs = { 4, 10, 53, 107, 155, 230, 276, 499 })
	void guaranteesHoldForSeedsOfPastFaults(long seed) {
		guaranteesHoldUnderFaults(seed);
	}

	// If all calls with a key were answered "not run" by nodes that have not
	// restarted, the key must be free once the faults end: the second of two further
	// calls must complete or receive the recorded answer.
	private static List<String> permanentlyRefusedKeys(OrderHistory history, Map<OrderKey, List<Call>> faulty,
			List<Call> last) {
		List<String> refused = new ArrayList<>();
		for (Call call : last) {
			List<Call> earlier = faulty.getOrDefault(call.key(), List.of());
			boolean shouldBeFree = earlier.stream()
				.allMatch((other) -> other.incarnation.equals(other.node.incarnation())
						&& other.outcome().filter(RequestOutcome.NotRun.class::isInstance).isPresent());
			boolean issuerCrashed = OrderNumbers.isIssued(call.key()) && history.nodes.stream()
				.noneMatch((node) -> OrderNumbers.isIssuedBy(call.key(), node.incarnation()));
			boolean sameContent = earlier.stream().allMatch((other) -> other.content().equals(call.content()));
			if (shouldBeFree && sameContent && !issuerCrashed && !completedOrReplayed(call)) {
				refused.add(call.outcome() + " for " + call.request);
			}
		}
		return refused;
	}

	private static boolean completedOrReplayed(Call call) {
		RequestOutcome outcome = call.outcome().orElseThrow();
		return outcome instanceof RequestOutcome.Completed || outcome instanceof RequestOutcome.Replayed;
	}

	private static List<OrderKey> runWithFaults(OrderHistory history) {
		List<OrderKey> keys = keys(history);
		history.platform.faults(0.05, 0.08, 0.05);
		history.faults.messageLost = 0.05;
		history.faults.messageDuplicated = 0.1;
		history.faults.messageDelayed = 0.05;
		history.faults.callDelayed = 0.05;
		history.faults.targetRefused = 0.1;
		history.faults.answerLost = 0.05;
		for (OrderKey key : keys) {
			int calls = 2 + history.random.nextInt(4);
			for (int i = 0; i < calls; i++) {
				String content = (history.random.nextInt(20) == 0) ? "b" : "a";
				history.schedule.add(history.randomDelay((int) FAULT_DURATION.toMillis()),
						() -> history.call(anyNode(history), key, content));
			}
		}
		for (int i = 0; i < 12; i++) {
			history.schedule.add(history.randomDelay((int) FAULT_DURATION.toMillis()), () -> injectFault(history));
		}
		for (int i = 0; i < 60; i++) {
			history.schedule.add(history.randomDelay((int) FAULT_DURATION.toMillis()),
					() -> history.updateLiveNodes(anyNode(history)));
		}
		history.runFor(FAULT_DURATION);
		return keys;
	}

	private static List<OrderKey> keys(OrderHistory history) {
		List<OrderKey> keys = new ArrayList<>();
		for (int i = 0; i < KEYS; i++) {
			OrderKey hashed = new OrderKey(history.random.nextLong(), history.random.nextLong());
			String text = (i % 5 == 0) ? issuedNumber(history) : "key-" + i;
			keys.add(OrderNumbers.encodeOrigin(hashed, text));
		}
		return keys;
	}

	private static String issuedNumber(OrderHistory history) {
		OrderNode node = anyNode(history);
		return OrderNumbers.issue(node.incarnation(), node.clock(history.now()), history.random.nextLong());
	}

	private static OrderNode anyNode(OrderHistory history) {
		return history.nodes.get(history.random.nextInt(NODES));
	}

	private static void injectFault(OrderHistory history) {
		OrderNode node = anyNode(history);
		Duration length = history.randomDelay(6000);
		switch (history.random.nextInt(4)) {
			case 0 -> history.restart(node);
			case 1 -> {
				NodeIncarnation paused = node.incarnation();
				node.pause();
				history.schedule.add(length, () -> {
					if (paused.equals(node.incarnation())) {
						history.resume(node);
					}
				});
			}
			case 2 -> {
				history.platform.down(true);
				history.schedule.add(length, () -> history.platform.down(false));
			}
			default -> {
				history.faults.setPartitioned(node, true);
				history.schedule.add(length, () -> history.faults.setPartitioned(node, false));
			}
		}
	}

	private static void endFaults(OrderHistory history) {
		history.runFor(Duration.ofSeconds(7));
		history.platform.faults(0, 0, 0);
		history.platform.down(false);
		history.faults.clear();
		history.nodes.forEach(history::resume);
		history.nodes.forEach(history::updateLiveNodes);
		history.runFor(Duration.ofSeconds(60));
	}

	@Test
	void differentSeedsGiveDifferentRuns() {
		Set<Integer> runs = new HashSet<>();
		for (long seed = 1; seed <= 5; seed++) {
			OrderHistory history = new OrderHistory(seed, NODES, POLICY);
			runWithFaults(history);
			runs.add(history.runs.size());
		}
		Assertions.assertThat(runs).hasSizeGreaterThan(1);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void everyOrderCompletesWithoutFaults(long seed) {
		OrderHistory history = new OrderHistory(seed, NODES, POLICY);
		List<Call> calls = new ArrayList<>();
		for (OrderKey key : keys(history)) {
			calls.add(history.call(anyNode(history), key, "a"));
		}
		history.runFor(Duration.ofSeconds(5));
		Assertions.assertThat(calls)
			.allMatch((call) -> call.outcome().orElseThrow() instanceof RequestOutcome.Completed);
	}

}
