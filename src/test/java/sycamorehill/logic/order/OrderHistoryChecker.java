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
 * Checks a history and reports every violated guarantee.
 */
final class OrderHistoryChecker {

	private final OrderHistory history;

	private final Map<OrderKey, List<Run>> runs = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private OrderHistoryChecker(OrderHistory history) {
		this.history = history;
		history.runs.forEach((run) -> this.runs.computeIfAbsent(run.call().key(), (key) -> new ArrayList<>()).add(run));
	}

	static List<String> check(OrderHistory history) {
		OrderHistoryChecker checker = new OrderHistoryChecker(history);
		checker.runs.forEach(checker::checkAtMostOnce);
		history.calls.forEach(checker::checkAnswer);
		return checker.violations;
	}

	private void checkAtMostOnce(OrderKey key, List<Run> found) {
		if (found.size() > 1) {
			this.violations.add("run " + found.size() + " times: " + key);
		}
	}

	private void checkAnswer(Call call) {
		if (call.cleared > 1 || call.answers.size() > 1) {
			this.violations.add("cleared " + call.cleared + " times, answered " + call.answers + ": " + call.request);
		}
		boolean isLive = call.incarnation.equals(call.node.incarnation());
		if (isLive && call.answers.isEmpty()) {
			this.violations.add("never answered: " + call.request);
		}
		call.outcome().ifPresent((outcome) -> checkOutcome(call, outcome));
	}

	private void checkOutcome(Call call, RequestOutcome outcome) {
		Optional<Run> run = this.runs.getOrDefault(call.key(), List.of()).stream().findFirst();
		boolean ranItself = run.isPresent() && run.get().call() == call;
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			if (ranItself) {
				this.violations.add("answered 'not run' although the order ran: " + call.request);
			}
			if (notRun.refusal().reason() == RefusalReason.KEY_REUSED && !hasCallWithOtherContent(call)) {
				this.violations.add("refused as key reuse although no call had other content: " + call.request);
			}
		}
		if (outcome instanceof RequestOutcome.Completed && !ranItself) {
			this.violations.add("completed without a run: " + call.request);
		}
		if (outcome instanceof RequestOutcome.Replayed replayed) {
			boolean same = run.isPresent() && run.get().answer().equals(replayed.answer())
					&& run.get().call().content().equals(call.content());
			if (!same) {
				this.violations.add("replayed answer differs from the answer of the run: " + call.request);
			}
		}
	}

	private boolean hasCallWithOtherContent(Call call) {
		return this.history.calls.stream()
			.anyMatch((other) -> other.key().equals(call.key()) && !other.content().equals(call.content()));
	}

}
