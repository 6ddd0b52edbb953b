package sycamorehill.logic.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.order.OrderHistory.Call;
import sycamorehill.logic.order.OrderHistory.Run;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Reads a history and names every broken promise.
 */
final class OrderHistoryChecker {

	private final OrderHistory history;

	private final Map<OrderKey, List<Run>> runs = new HashMap<>();

	private final List<String> faults = new ArrayList<>();

	private OrderHistoryChecker(OrderHistory history) {
		this.history = history;
		history.runs.forEach((run) -> this.runs.computeIfAbsent(run.call().key(), (key) -> new ArrayList<>()).add(run));
	}

	static List<String> check(OrderHistory history) {
		OrderHistoryChecker checker = new OrderHistoryChecker(history);
		checker.runs.forEach(checker::atMostOnce);
		history.calls.forEach(checker::answer);
		return checker.faults;
	}

	private void atMostOnce(OrderKey key, List<Run> found) {
		if (found.size() > 1) {
			this.faults.add("run " + found.size() + " times: " + key);
		}
	}

	private void answer(Call call) {
		if (call.cleared > 1 || call.answers.size() > 1) {
			this.faults.add("cleared " + call.cleared + " times, answered " + call.answers + ": " + call.request);
		}
		boolean alive = call.incarnation.equals(call.node.incarnation());
		if (alive && call.answers.isEmpty()) {
			this.faults.add("never answered: " + call.request);
		}
		call.outcome().ifPresent((outcome) -> outcome(call, outcome));
	}

	private void outcome(Call call, RequestOutcome outcome) {
		Optional<Run> run = this.runs.getOrDefault(call.key(), List.of()).stream().findFirst();
		boolean ranItself = run.isPresent() && run.get().call() == call;
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			if (ranItself) {
				this.faults.add("'not run' is false: " + call.request);
			}
			if (notRun.refusal().reason() == RefusalReason.KEY_REUSED && !otherContent(call)) {
				this.faults.add("no other content had the key: " + call.request);
			}
		}
		if (outcome instanceof RequestOutcome.Completed && !ranItself) {
			this.faults.add("completed without a run: " + call.request);
		}
		if (outcome instanceof RequestOutcome.Replayed replayed) {
			boolean same = run.isPresent() && run.get().answer().equals(replayed.answer())
					&& run.get().call().content().equals(call.content());
			if (!same) {
				this.faults.add("another answer was given again: " + call.request);
			}
		}
	}

	private boolean otherContent(Call call) {
		return this.history.calls.stream()
			.anyMatch((other) -> other.key().equals(call.key()) && !other.content().equals(call.content()));
	}

}
