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
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Feeds events to the admission of one node and records its decisions.
 */
final class AdmissionHarness {

	private static final DataCentreName LOCAL = DataCentreName.of("one");

	private final AdmissionReducer reducer = AdmissionReducer.create();

	private final List<RequestDescription> admitted = new ArrayList<>();

	private final Map<Long, Refusal> refused = new LinkedHashMap<>();

	private final FakeNodeView view;

	private AdmissionState state = AdmissionState.initial();

	private Instant now = Instant.EPOCH;

	private AdmissionHarness(Item... items) {
		PlainTarget target = new PlainTarget(TargetName.of("t"), LOCAL, Address.of("127.0.0.1", 1));
		this.view = FakeNodeView.of("n", LOCAL.value())
			.with(RequestFixtures.CHAT_SERVICE, ServiceItem.plain(RequestFixtures.PLAIN, List.of(target), List.of()))
			.with(items);
		apply(new NodeEvent.Started(1));
		advanceTime(Duration.ofSeconds(3));
	}

	static AdmissionHarness with(Item... items) {
		return new AdmissionHarness(items);
	}

	Instant now() {
		return this.now;
	}

	void advanceTime(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plusMillis(100);
			apply(new NodeEvent.Ticked(this.now));
		}
	}

	void arrive(RequestDescription request) {
		apply(new RequestEvent.Arrived(request));
	}

	void finish(RequestDescription request) {
		apply(new RequestEvent.Finished(request, Idempotency.REPEATABLE, new RequestOutcome.Completed(),
				request.maximumTokens(), Optional.empty()));
	}

	void firstTokenAfter(RequestDescription request, Duration latency) {
		AttemptIdentifier attempt = AttemptIdentifier.of(request.identifier().incarnation(),
				request.identifier().number());
		ServingTarget target = new ServingTarget(TargetName.of("t"), request.service(), LOCAL,
				Address.of("127.0.0.1", 1), Optional.empty(), List.of());
		apply(new RequestEvent.AttemptStarted(request, attempt, target));
		this.now = this.now.plus(latency);
		apply(new RequestEvent.FirstToken(attempt));
	}

	void apply(Event event) {
		Step<AdmissionState> step = this.reducer.reduce(this.state, this.now, event, this.view);
		this.state = step.state();
		for (Effect effect : step.effects()) {
			if (effect instanceof NodeEffect.Raise raise) {
				recordDecision(raise.event());
			}
		}
	}

	private void recordDecision(Event event) {
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
