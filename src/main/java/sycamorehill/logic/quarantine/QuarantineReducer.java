package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.RandomSequence;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.peer.ContentQuarantined;
import sycamorehill.model.peer.IsolationAnswered;
import sycamorehill.model.peer.IsolationAsked;
import sycamorehill.model.peer.IsolationReleased;
import sycamorehill.model.peer.QuarantineDigest;
import sycamorehill.model.peer.SuspectCleared;
import sycamorehill.model.peer.SuspectReported;
import sycamorehill.model.peer.SuspectsSpread;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestOutcome;

/**
 * Quarantines content that crashes targets. Content that ran on a crashed target becomes
 * suspect and from then on runs on a target without other suspects. A second crash
 * quarantines it on all nodes, and the content that ran beside it is cleared.
 */
public final class QuarantineReducer implements Reducer<QuarantineState> {

	private QuarantineReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static QuarantineReducer create() {
		return new QuarantineReducer();
	}

	@Override
	public Step<QuarantineState> reduce(QuarantineState state, Instant now, Event event, NodeView view) {
		QuarantineStep step = new QuarantineStep(state, now, view);
		if (event instanceof RequestEvent requestEvent) {
			handleRequestEvent(step, requestEvent);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			handleMessage(step, received);
		}
		else if (event instanceof NodeEvent.Ticked) {
			CrashDetection.settleSuspectedCrashes(step);
			Arbiter.publishSuspects(step);
			QuarantinePropagation.sendDigest(step);
			step.removeExpired();
		}
		else if (event instanceof NodeEvent.Started started) {
			step.replaceState(state.withRandom(RandomSequence.of(started.seed())));
		}
		return step.result();
	}

	private static void handleRequestEvent(QuarantineStep step, RequestEvent event) {
		if (event instanceof RequestEvent.AttemptStarted started) {
			handleAttemptStarted(step, started);
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			RunningContent content = step.state().running().get(first.attempt());
			if (content != null) {
				CrashDetection.handleAnswer(step, content);
			}
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			handleAttemptClosed(step, closed);
		}
		else if (event instanceof RequestEvent.IsolationWanted wanted) {
			IsolationClient.handleIsolationWanted(step, wanted);
		}
		else if (event instanceof RequestEvent.Finished finished) {
			handleFinished(step, finished);
		}
	}

	private static void handleAttemptStarted(QuarantineStep step, RequestEvent.AttemptStarted event) {
		boolean isolated = IsolationClient.holdsSlot(step, event.request().identifier(), event.target().name());
		RunningContent content = new RunningContent(event.request().identifier(), event.request().fingerprint(),
				event.target(), step.now(), isolated);
		step.replaceState(step.state().withRunning(step.state().running().plus(event.attempt(), content)));
	}

	private static void handleAttemptClosed(QuarantineStep step, RequestEvent.AttemptClosed event) {
		AttemptIdentifier attempt = event.attempt();
		RunningContent content = step.state().running().get(attempt);
		if (content == null) {
			return;
		}
		step.replaceState(step.state().withRunning(step.state().running().minus(attempt)));
		if (event.result() instanceof AttemptResult.Completed) {
			CrashDetection.handleAnswer(step, content);
			if (step.suspect(content.fingerprint()).isPresent()) {
				step.clearSuspect(content.fingerprint());
				CrashDetection.reportCleared(step, content.target().service(), content.fingerprint());
			}
		}
		else if (event.result() instanceof AttemptResult.Interrupted broken && broken.connectionLost()) {
			CrashDetection.handleConnectionLost(step, content);
		}
		IsolationClient.removeRequest(step, content.request());
	}

	private static void handleFinished(QuarantineStep step, RequestEvent.Finished event) {
		IsolationClient.removeRequest(step, event.request().identifier());
		// Each refused retry extends the quarantine. If it expired while the caller still
		// sends the content, two more targets would crash.
		if (isRefusedAsQuarantined(event.outcome()) && step.isQuarantined(event.request().fingerprint())) {
			step.quarantine(event.request().fingerprint(), step.now().plus(step.policy().quarantine()));
		}
	}

	private static boolean isRefusedAsQuarantined(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.NotRun notRun && isQuarantineRefusal(notRun.refusal());
	}

	private static boolean isQuarantineRefusal(Refusal refusal) {
		return refusal.reason() == RefusalReason.QUARANTINED;
	}

	private static void handleMessage(QuarantineStep step, PeerEvent.MessageReceived received) {
		if (received.message() instanceof SuspectReported reported) {
			Arbiter.handleSuspectReported(step, reported);
		}
		else if (received.message() instanceof SuspectsSpread spread) {
			spread.suspects().forEach((entry) -> step.addCrash(entry.fingerprint(), entry.target()));
			spread.cleared().forEach(step::clearSuspect);
		}
		else if (received.message() instanceof SuspectCleared cleared) {
			Arbiter.handleSuspectCleared(step, cleared);
		}
		else if (received.message() instanceof IsolationAsked ask) {
			step.send(received.from(), Arbiter.handleIsolationAsked(step, ask));
		}
		else if (received.message() instanceof IsolationAnswered answer) {
			IsolationClient.handleIsolationAnswered(step, answer);
		}
		else if (received.message() instanceof IsolationReleased released) {
			Arbiter.handleIsolationReleased(step, released);
		}
		else if (received.message() instanceof ContentQuarantined quarantined) {
			QuarantinePropagation.handleContentQuarantined(step, quarantined);
		}
		else if (received.message() instanceof QuarantineDigest digest) {
			digest.entries().forEach((entry) -> QuarantinePropagation.applyEntry(step, entry));
		}
	}

}
