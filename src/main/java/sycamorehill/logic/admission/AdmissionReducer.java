package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionState.SentAttempt;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.peer.ShareAsk;
import sycamorehill.model.peer.ShareLoan;
import sycamorehill.model.request.AttemptResult;

/**
 * Admits requests: enforces limits, keeps queues and refuses early what can't be served
 * in time.
 */
public final class AdmissionReducer implements Reducer<AdmissionState> {

	private AdmissionReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static AdmissionReducer create() {
		return new AdmissionReducer();
	}

	@Override
	public Step<AdmissionState> reduce(AdmissionState state, Instant now, Event event, NodeView view) {
		if (event instanceof RequestEvent requestEvent) {
			return handleRequestEvent(AdmissionStep.of(state, now, view), now, requestEvent);
		}
		if (event instanceof NodeEvent nodeEvent) {
			return handleNodeEvent(AdmissionStep.of(state, now, view), now, nodeEvent, view);
		}
		if (event instanceof PeerEvent.MessageReceived received) {
			return handlePeerMessage(AdmissionStep.of(state, now, view), now, received, view);
		}
		return Step.of(state);
	}

	private static Step<AdmissionState> handleRequestEvent(AdmissionStep step, Instant now, RequestEvent event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			step.handleArrival(arrived.request());
		}
		else if (event instanceof RequestEvent.CallerGone gone) {
			step.removeWaiting(gone.request());
		}
		else if (event instanceof RequestEvent.Finished finished) {
			step.handleFinished(finished.request().identifier(), finished.tokens());
		}
		else if (event instanceof RequestEvent.AttemptStarted started) {
			SentAttempt sent = new SentAttempt(started.request().service(), now);
			step.setState(step.state().withAttempts(step.state().attempts().plus(started.attempt(), sent)));
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			recordLatency(step, first.attempt(), now, true);
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			recordLatency(step, closed.attempt(), now, closed.result() instanceof AttemptResult.Completed);
		}
		return step.result();
	}

	private static void recordLatency(AdmissionStep step, AttemptIdentifier attempt, Instant now, boolean counts) {
		SentAttempt sent = step.state().attempts().get(attempt);
		if (sent == null) {
			return;
		}
		step.setState(step.state().withAttempts(step.state().attempts().minus(attempt)));
		if (counts) {
			ServiceLoad load = step.serviceLoad(sent.service()).withSample(Duration.between(sent.at(), now), now);
			step.setState(step.state().withService(sent.service(), load));
			step.admitWaiting(sent.service());
		}
	}

	private static Step<AdmissionState> handleNodeEvent(AdmissionStep step, Instant now, NodeEvent event,
			NodeView view) {
		if (event instanceof NodeEvent.Started) {
			step.setState(step.state().withLimits(step.state().limits().withOwnershipDelayed(now, view)));
		}
		else if (event instanceof NodeEvent.StopRequested) {
			step.setState(step.state().withStopFrom(now.plus(view.policy().request().stopGrace())));
		}
		else if (event instanceof NodeEvent.Ticked) {
			step.applyLimits(ShareExchange.handleTick(step.state().limits().withCurrentDivisor(view), now, view));
			step.handleTick();
		}
		return step.result();
	}

	private static Step<AdmissionState> handlePeerMessage(AdmissionStep step, Instant now,
			PeerEvent.MessageReceived received, NodeView view) {
		if (received.message() instanceof ShareAsk ask) {
			step.applyLimits(ShareExchange.handleAsk(step.state().limits().withCurrentDivisor(view), now, view,
					received.from(), ask));
		}
		else if (received.message() instanceof ShareLoan loan) {
			step.applyLimits(ShareExchange.handleLoan(step.state().limits(), now, view, received.from(), loan));
			step.releaseAndAdmit(loan.loans());
		}
		return step.result();
	}

}
