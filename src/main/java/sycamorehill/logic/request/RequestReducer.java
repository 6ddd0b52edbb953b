package sycamorehill.logic.request;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.RandomSequence;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Controls the life cycle of requests: attempts, retries, resumed streams and outcome. A
 * request is kept from its arrival to its final answer. Each request has exactly one
 * final answer.
 */
public final class RequestReducer implements Reducer<RequestState> {

	private RequestReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static RequestReducer create() {
		return new RequestReducer();
	}

	@Override
	public Step<RequestState> reduce(RequestState state, Instant now, Event event, NodeView view) {
		RequestStep step = new RequestStep(state, now, view);
		if (event instanceof RequestEvent requestEvent) {
			handleRequestEvent(step, requestEvent);
		}
		else if (event instanceof NodeEvent.Started started) {
			step.replaceState(state.withRandom(RandomSequence.of(started.seed())));
		}
		else if (event instanceof NodeEvent.StopRequested) {
			NodeStop.begin(step);
		}
		else if (event instanceof NodeEvent.Ticked) {
			handleDueWakeups(step);
			NodeStop.exitIfDrained(step);
		}
		return step.result();
	}

	private static void handleRequestEvent(RequestStep step, RequestEvent event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			handleArrived(step, arrived);
		}
		else if (event instanceof RequestEvent.Cleared cleared) {
			handleCleared(step, cleared);
		}
		else if (event instanceof RequestEvent.AttemptDue due) {
			findRequest(step, due.request()).filter((request) -> request.running().isEmpty())
				.ifPresent(step::startOrAwaitTarget);
		}
		else if (event instanceof RequestEvent.IsolationGranted granted) {
			findRequest(step, granted.request()).filter((request) -> request.running().isEmpty())
				.ifPresent((request) -> step.startAttempt(request, granted.target()));
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			findRequest(step, step.state().attempts().get(first.attempt()))
				.ifPresent((request) -> step.putRequest(request.withFirstToken().withWakeAt(Optional.empty())));
		}
		else if (event instanceof RequestEvent.AttemptEnded ended) {
			findRequest(step, step.state().attempts().get(ended.attempt()))
				.ifPresent((request) -> handleAttemptEnded(step, request, ended));
		}
		else if (event instanceof RequestEvent.Refused refused) {
			findRequest(step, refused.request())
				.ifPresent((request) -> handleRefused(step, request, refused.outcome()));
		}
		else if (event instanceof RequestEvent.CallerGone disconnected) {
			findRequest(step, disconnected.request()).ifPresent((request) -> handleCallerGone(step, request));
		}
	}

	private static void handleArrived(RequestStep step, RequestEvent.Arrived event) {
		if (findRequest(step, event.request().identifier()).isEmpty()) {
			step.putRequest(ActiveRequest.create(event.request()));
		}
	}

	private static Optional<ActiveRequest> findRequest(RequestStep step, RequestIdentifier identifier) {
		return Optional.ofNullable(identifier).map(step.state().active()::get);
	}

	private static void handleCleared(RequestStep step, RequestEvent.Cleared event) {
		Optional<ActiveRequest> found = findRequest(step, event.request().identifier());
		if (found.isEmpty()) {
			handleClearedAfterFinish(step, event);
			return;
		}
		ServiceName service = event.request().service();
		step.setBudgets(service, step.budgets(service).afterFirstAttempt(step.policy()));
		Instant waitEnd = step.now().plus(step.policy().targetWait());
		Instant deadline = event.request().deadline();
		step.startOrAwaitTarget(
				found.get().withClearance(event.idempotency(), waitEnd.isBefore(deadline) ? waitEnd : deadline));
	}

	private static void handleClearedAfterFinish(RequestStep step, RequestEvent.Cleared event) {
		// The caller disconnected while the request was queued or its order was being
		// claimed, so the request already has its final answer. Without this event, the
		// claim of the order would never be released.
		RequestOutcome notRun = new RequestOutcome.NotRun(
				Refusal.of(RefusalReason.CALLER_GONE, "the caller went away before it was sent"));
		step.raise(new RequestEvent.Finished(event.request(), event.idempotency(), notRun, 0, Optional.empty()));
	}

	private static void handleAttemptEnded(RequestStep step, ActiveRequest request, RequestEvent.AttemptEnded event) {
		RunningAttempt running = request.running().orElseThrow();
		step.raise(new RequestEvent.AttemptClosed(request.description(), running.identifier(), running.target(),
				event.result()));
		if (event.result() instanceof AttemptResult.Completed completed) {
			step.finish(request.withAttemptEnded(request.history().withAttemptCompleted(event.deliveredTokens())),
					new RequestOutcome.Completed(), completed.recorded());
			return;
		}
		AttemptHistory history = request.history()
			.withAttemptEnded(running.target().name(), event.deliveredTokens(), event.result());
		RetryRule.retryOrFinish(step, request.withAttemptEnded(history), event.result());
	}

	private static void handleRefused(RequestStep step, ActiveRequest request, RequestOutcome outcome) {
		// Another reducer refused the request. If an attempt may have run before, "not
		// run" would be wrong, so the history of the attempts decides.
		if (request.history().started() > 0 && outcome instanceof RequestOutcome.NotRun notRun) {
			AttemptHistory history = request.running().isPresent() ? request.history().withAttemptAbandoned()
					: request.history();
			Duration retryAfter = notRun.refusal().retryAfter().orElse(Duration.ZERO);
			step.finish(request, history.outcome(notRun.refusal().reason(), notRun.refusal().detail(), retryAfter));
			return;
		}
		step.finish(request, outcome);
	}

	private static void handleCallerGone(RequestStep step, ActiveRequest request) {
		// An idempotent request is cancelled when its caller disconnects, because nobody
		// reads the answer. An order that was sent runs on: cancelling it could leave it
		// half done, and its answer is kept for the caller's retry.
		if (request.running().isPresent() && !request.isIdempotent()) {
			step.putRequest(request.withCallerGone());
			return;
		}
		AttemptHistory history = request.running().isPresent() ? request.history().withAttemptAbandoned()
				: request.history();
		step.finish(request, history.outcome(RefusalReason.CALLER_GONE, "the caller went away", Duration.ZERO));
	}

	private static void handleDueWakeups(RequestStep step) {
		while (!step.state().wakeups().isEmpty()) {
			Wakeup first = step.state().wakeups().first();
			if (first.at().isAfter(step.now())) {
				return;
			}
			ActiveRequest request = step.state().active().get(first.request()).withWakeAt(Optional.empty());
			step.putRequest(request);
			if (request.running().isPresent()) {
				finishAfterDeadline(step, request);
			}
			else {
				step.startOrAwaitTarget(request);
			}
		}
	}

	private static void finishAfterDeadline(RequestStep step, ActiveRequest request) {
		AttemptHistory history = request.history().withAttemptAbandoned();
		step.finish(request, history.outcome(RefusalReason.DEADLINE_TOO_SHORT,
				"its answer had not begun by its deadline and was cancelled", step.retryAfter()));
	}

}
