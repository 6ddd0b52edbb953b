package sycamorehill.experiment;

import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;

/**
 * A node of an experiment: its decisions, and the least of a traffic thread.
 */
final class ExperimentNode {

	private final ExperimentFleet fleet;

	private final RequestPathNode logic;

	private final Map<RequestIdentifier, String> contents = new HashMap<>();

	private final Map<AttemptIdentifier, RequestIdentifier> attempts = new HashMap<>();

	ExperimentNode(ExperimentFleet fleet, RequestPathNode logic) {
		this.fleet = fleet;
		this.logic = logic;
	}

	RequestPathNode logic() {
		return this.logic;
	}

	void accept(RequestDescription request, Idempotency handling) {
		this.contents.put(request.identifier(), request.fingerprint().value());
		feed(new RequestEvent.Arrived(request));
		feed(new RequestEvent.Cleared(request, handling));
	}

	void feed(Event event) {
		for (Effect effect : this.logic.feed(this.fleet.time().now(), event)) {
			carryOut(effect);
		}
	}

	private void carryOut(Effect effect) {
		if (effect instanceof RequestEffect.StartAttempt start) {
			start(start);
		}
		else if (effect instanceof RequestEffect.CancelAttempt cancel) {
			this.attempts.remove(cancel.attempt());
		}
		else if (effect instanceof RequestEffect.FinishRequest finish) {
			String content = this.contents.remove(finish.request());
			this.fleet.finished(content, finish.outcome() instanceof RequestOutcome.Completed);
		}
		else if (effect instanceof PeerEffect.Send send) {
			this.fleet.message(send.to(), new PeerEvent.MessageReceived(this.logic.self(), send.message()));
		}
	}

	private void start(RequestEffect.StartAttempt start) {
		this.attempts.put(start.attempt(), start.request());
		String content = this.contents.get(start.request());
		this.fleet.sent();
		this.fleet.soon(() -> this.fleet.target(start.target().name()).take(this, start.attempt(), content));
		this.fleet.time()
			.after(start.readTimeout(),
					() -> ended(start.attempt(), new AttemptResult.Interrupted(false, "nothing came")));
	}

	void ended(AttemptIdentifier attempt, AttemptResult result) {
		if (this.attempts.remove(attempt) != null) {
			feed(new RequestEvent.AttemptEnded(attempt, 0, result));
		}
	}

}
