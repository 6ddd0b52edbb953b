package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Handling;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Feeds one node's admission and keeps what it decided.
 */
final class AdmissionRun {

	private static final DataCentreName HERE = DataCentreName.of("one");

	private final AdmissionReducer reducer = AdmissionReducer.create();

	private final List<RequestDescription> admitted = new ArrayList<>();

	private final Map<Long, Refusal> refused = new LinkedHashMap<>();

	private final FakeView view;

	private AdmissionState state = AdmissionState.initial();

	private Instant now = Instant.EPOCH;

	private AdmissionRun(Item... items) {
		PlainTarget target = new PlainTarget(TargetName.of("t"), HERE, Address.of("127.0.0.1", 1));
		this.view = FakeView.of("n", HERE.value())
			.with(Requests.CHAT_SERVICE, ServiceItem.plain(Requests.DESK, List.of(target), List.of()))
			.with(items);
		feed(new NodeEvent.Started(1));
		pass(Duration.ofSeconds(3));
	}

	static AdmissionRun with(Item... items) {
		return new AdmissionRun(items);
	}

	Instant now() {
		return this.now;
	}

	void pass(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plusMillis(100);
			feed(new NodeEvent.Ticked(this.now));
		}
	}

	void arrive(RequestDescription request) {
		feed(new RequestEvent.Arrived(request));
	}

	void finish(RequestDescription request) {
		feed(new RequestEvent.Finished(request, Handling.REPEATABLE, new RequestOutcome.Completed(),
				request.maximumTokens(), Optional.empty()));
	}

	void firstTokenAfter(RequestDescription request, Duration latency) {
		AttemptIdentifier attempt = AttemptIdentifier.of(request.identifier().incarnation(),
				request.identifier().number());
		ServingTarget target = new ServingTarget(TargetName.of("t"), request.service(), HERE,
				Address.of("127.0.0.1", 1), Optional.empty(), List.of());
		feed(new RequestEvent.AttemptStarted(request, attempt, target));
		this.now = this.now.plus(latency);
		feed(new RequestEvent.FirstToken(attempt));
	}

	void feed(Event event) {
		Step<AdmissionState> step = this.reducer.reduce(this.state, this.now, event, this.view);
		this.state = step.state();
		for (Effect effect : step.effects()) {
			if (effect instanceof NodeEffect.Raise raise) {
				take(raise.event());
			}
		}
	}

	private void take(Event event) {
		if (event instanceof RequestEvent.Admitted passed) {
			this.admitted.add(passed.request());
		}
		else if (event instanceof RequestEvent.Refused refusal) {
			this.refused.put(refusal.request().number(), ((RequestOutcome.NotRun) refusal.outcome()).refusal());
		}
	}

	List<RequestDescription> admitted() {
		return List.copyOf(this.admitted);
	}

	List<Long> admittedNumbers() {
		return this.admitted.stream().map((request) -> request.identifier().number()).toList();
	}

	Map<Long, Refusal> refused() {
		return this.refused;
	}

	int waiting() {
		return this.state.waiting().size();
	}

}
