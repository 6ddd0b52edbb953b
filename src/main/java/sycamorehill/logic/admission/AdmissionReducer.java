package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionState.Sent;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.peer.ShareAsk;
import sycamorehill.model.peer.ShareLoan;
import sycamorehill.model.request.AttemptResult;

/**
 * Limits, queues and early refusal.
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
			return request(AdmissionStep.of(state, now, view), now, requestEvent);
		}
		if (event instanceof NodeEvent nodeEvent) {
			return node(AdmissionStep.of(state, now, view), now, nodeEvent, view);
		}
		if (event instanceof PeerEvent.MessageReceived received) {
			return peer(AdmissionStep.of(state, now, view), now, received, view);
		}
		return Step.of(state);
	}

	private static Step<AdmissionState> request(AdmissionStep step, Instant now, RequestEvent event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			step.arrive(arrived.request());
		}
		else if (event instanceof RequestEvent.CallerGone gone) {
			step.forget(gone.request());
		}
		else if (event instanceof RequestEvent.Finished finished) {
			step.finish(finished.request().identifier(), finished.tokens());
		}
		else if (event instanceof RequestEvent.AttemptStarted started) {
			Sent sent = new Sent(started.request().service(), now);
			step.set(step.state().withAttempts(step.state().attempts().plus(started.attempt(), sent)));
		}
		else if (event instanceof RequestEvent.FirstToken first) {
			measure(step, first.attempt(), now, true);
		}
		else if (event instanceof RequestEvent.AttemptClosed closed) {
			measure(step, closed.attempt(), now, closed.result() instanceof AttemptResult.Whole);
		}
		return step.end();
	}

	private static void measure(AdmissionStep step, AttemptIdentifier attempt, Instant now, boolean counts) {
		Sent sent = step.state().attempts().get(attempt);
		if (sent == null) {
			return;
		}
		step.set(step.state().withAttempts(step.state().attempts().minus(attempt)));
		if (counts) {
			ServiceLoad load = step.load(sent.service()).measured(Duration.between(sent.at(), now), now);
			step.set(step.state().withService(sent.service(), load));
			step.advance(sent.service());
		}
	}

	private static Step<AdmissionState> node(AdmissionStep step, Instant now, NodeEvent event, NodeView view) {
		if (event instanceof NodeEvent.Started) {
			step.set(step.state().withLimits(step.state().limits().started(now, view)));
		}
		else if (event instanceof NodeEvent.StopRequested) {
			step.set(step.state().stoppingFrom(now.plus(view.policy().request().stopGrace())));
		}
		else if (event instanceof NodeEvent.Ticked) {
			step.takeIn(ShareExchange.tick(step.state().limits().following(view), now, view));
			step.tick();
		}
		return step.end();
	}

	private static Step<AdmissionState> peer(AdmissionStep step, Instant now, PeerEvent.MessageReceived received,
			NodeView view) {
		if (received.message() instanceof ShareAsk ask) {
			step.takeIn(ShareExchange.asked(step.state().limits().following(view), now, view, received.from(), ask));
		}
		else if (received.message() instanceof ShareLoan loan) {
			step.takeIn(ShareExchange.lent(step.state().limits(), now, view, received.from(), loan));
			step.releaseAndAdvance(loan.loans());
		}
		return step.end();
	}

}
