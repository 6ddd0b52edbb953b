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
 * Content that crashes targets: what a dead target ran is suspected and runs alone among
 * suspects, a second death quarantines it on all nodes, and what ran beside it is
 * cleared.
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
			request(step, requestEvent);
		}
		else if (event instanceof PeerEvent.MessageReceived received) {
			message(step, received);
		}
		else if (event instanceof NodeEvent.Ticked) {
			BreakRule.settle(step);
			ArbiterRule.spread(step);
			Verdicts.digest(step);
			step.expire();
		}
		else if (event instanceof NodeEvent.Started started) {
			step.replace(state.withRandom(RandomSequence.of(started.seed())));
		}
		return step.result();
	}

	private static void request(QuarantineStep step, RequestEvent event) {
		if (event instanceof RequestEvent.AttemptStarted started) {
			started(step, started);
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			RunningContent content = step.state().running().get(first.attempt());
			if (content != null) {
				BreakRule.answered(step, content);
			}
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			closed(step, closed);
		}
		else if (event instanceof RequestEvent.IsolationWanted wanted) {
			IsolationRule.wanted(step, wanted);
		}
		else if (event instanceof RequestEvent.Finished finished) {
			finished(step, finished);
		}
	}

	private static void started(QuarantineStep step, RequestEvent.AttemptStarted event) {
		boolean isolated = IsolationRule.holds(step, event.request().identifier(), event.target().name());
		RunningContent content = new RunningContent(event.request().identifier(), event.request().fingerprint(),
				event.target(), step.now(), isolated);
		step.replace(step.state().withRunning(step.state().running().plus(event.attempt(), content)));
	}

	private static void closed(QuarantineStep step, RequestEvent.AttemptClosed event) {
		AttemptIdentifier attempt = event.attempt();
		RunningContent content = step.state().running().get(attempt);
		if (content == null) {
			return;
		}
		step.replace(step.state().withRunning(step.state().running().minus(attempt)));
		if (event.result() instanceof AttemptResult.Completed) {
			BreakRule.answered(step, content);
			if (step.suspect(content.fingerprint()).isPresent()) {
				step.clear(content.fingerprint());
				BreakRule.tellCleared(step, content.target().service(), content.fingerprint());
			}
		}
		else if (event.result() instanceof AttemptResult.Interrupted broken && broken.connectionLost()) {
			BreakRule.broken(step, content);
		}
		IsolationRule.forget(step, content.request());
	}

	private static void finished(QuarantineStep step, RequestEvent.Finished event) {
		IsolationRule.forget(step, event.request().identifier());
		// As long as its caller goes on sending it, it stays refused: if it lapsed
		// under the caller's retries, two more targets would die.
		if (refusedAsQuarantined(event.outcome()) && step.quarantined(event.request().fingerprint())) {
			step.quarantine(event.request().fingerprint(), step.now().plus(step.policy().quarantine()));
		}
	}

	private static boolean refusedAsQuarantined(RequestOutcome outcome) {
		return outcome instanceof RequestOutcome.NotRun notRun && isQuarantine(notRun.refusal());
	}

	private static boolean isQuarantine(Refusal refusal) {
		return refusal.reason() == RefusalReason.QUARANTINED;
	}

	private static void message(QuarantineStep step, PeerEvent.MessageReceived received) {
		if (received.message() instanceof SuspectReported reported) {
			ArbiterRule.reported(step, reported);
		}
		else if (received.message() instanceof SuspectsSpread spread) {
			spread.suspects().forEach((entry) -> step.addDeath(entry.fingerprint(), entry.target()));
			spread.cleared().forEach(step::clear);
		}
		else if (received.message() instanceof SuspectCleared cleared) {
			ArbiterRule.cleared(step, cleared);
		}
		else if (received.message() instanceof IsolationAsked ask) {
			step.send(received.from(), ArbiterRule.ask(step, ask));
		}
		else if (received.message() instanceof IsolationAnswered answer) {
			IsolationRule.answered(step, answer);
		}
		else if (received.message() instanceof IsolationReleased released) {
			ArbiterRule.release(step, released);
		}
		else if (received.message() instanceof ContentQuarantined quarantined) {
			Verdicts.told(step, quarantined);
		}
		else if (received.message() instanceof QuarantineDigest digest) {
			digest.entries().forEach((entry) -> Verdicts.learn(step, entry));
		}
	}

}
