package sycamorehill.logic.request;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;

import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.request.RefusalReason;

/**
 * Graceful shutdown: the process exits when no request is in flight any more.
 */
final class NodeStop {

	private NodeStop() {
	}

	static void begin(RequestStep step) {
		if (step.state().stop().isEmpty()) {
			step.replaceState(step.state().withStop(new StopProgress(step.now(), false)));
		}
	}

	/**
	 * Exits once the grace period is over and no request is in flight, or once the time
	 * limit for the shutdown is reached. An idle node must not exit at once: the load
	 * balancer has not noticed the shutdown yet, and its next requests would be lost.
	 * @param step the current step
	 */
	static void exitIfDrained(RequestStep step) {
		if (step.state().stop().isEmpty() || step.state().stop().get().exited()) {
			return;
		}
		Instant since = step.state().stop().get().since();
		boolean gracePeriodOver = !step.now().isBefore(since.plus(step.policy().stopGrace()));
		boolean timeLimitReached = !step.now().isBefore(since.plus(step.policy().stopBound()));
		if (!gracePeriodOver || (step.state().inFlight() > 0 && !timeLimitReached)) {
			return;
		}
		step.replaceState(step.state().withStop(new StopProgress(since, true)));
		abortRemaining(step);
		step.emit(new NodeEffect.Exit());
	}

	private static void abortRemaining(RequestStep step) {
		List<ActiveRequest> remaining = step.state()
			.active()
			.values()
			.stream()
			.sorted(Comparator.comparingLong((request) -> request.identifier().number()))
			.toList();
		int number = 0;
		for (ActiveRequest request : remaining) {
			number++;
			log(step, LogEvent.REQUEST_CUT, number + " of " + remaining.size() + ": " + request.identifier() + " for "
					+ request.description().service() + " after " + request.history().started() + " attempts");
			AttemptHistory history = request.running().isPresent() ? request.history().withAttemptAbandoned()
					: request.history();
			step.finish(request, history.outcome(RefusalReason.NODE_STOPPING, "the node stopped", step.retryAfter()));
		}
		log(step, LogEvent.REQUESTS_DRAINED, remaining.size() + " requests cut off");
	}

	private static void log(RequestStep step, LogEvent event, String detail) {
		step.emit(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

}
