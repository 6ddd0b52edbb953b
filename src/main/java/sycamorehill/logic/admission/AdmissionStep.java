package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionState.Flight;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.peer.WorkspaceShare;
import sycamorehill.model.policy.AdmissionPolicy;
import sycamorehill.model.request.Handling;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * One step of admission: takes requests in, lets them go on in fair turns, and refuses
 * those that can't be served in time.
 */
final class AdmissionStep {

	private static final int YOUNG_PART = 4;

	private final NodeView view;

	private final AdmissionPolicy policy;

	private final Instant now;

	private final List<Effect> effects = new ArrayList<>();

	private AdmissionState state;

	private AdmissionStep(AdmissionState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
		this.policy = view.policy().admission();
	}

	static AdmissionStep of(AdmissionState state, Instant now, NodeView view) {
		return new AdmissionStep(state, now, view);
	}

	Step<AdmissionState> end() {
		return Step.of(this.state, this.effects);
	}

	AdmissionState state() {
		return this.state;
	}

	void set(AdmissionState changed) {
		this.state = changed;
	}

	void takeIn(Step<LimitState> limits) {
		this.state = this.state.withLimits(limits.state());
		this.effects.addAll(limits.effects());
	}

	/**
	 * Takes a request in, or refuses it at once.
	 * @param request the request
	 */
	void arrive(RequestDescription request) {
		RequestCheck check = RequestCheck.of(request, this.view);
		if (check.refusal().isPresent()) {
			refuse(request.identifier(), check.refusal().get());
			return;
		}
		if (this.state.stopFrom().isPresent() && !this.now.isBefore(this.state.stopFrom().get())) {
			refuse(request.identifier(),
					Refusal.of(RefusalReason.NODE_STOPPING, "the node is stopping", Duration.ZERO));
			return;
		}
		WorkspaceItem workspace = check.workspace().orElseThrow();
		this.state = this.state.withLimits(this.state.limits().following(this.view));
		LimitState.Entry entry = this.state.limits().entry(workspace.name(), this.now, this.view);
		entry = entry.with(entry.meter().offer(tokens(request)));
		put(workspace.name(), entry);
		ServiceLoad load = load(request.service());
		Optional<Refusal> refusal = Forecast.of(load, entry, workspace, this.now).refusal(request, this.policy);
		if (refusal.isPresent()) {
			refuse(request.identifier(), refusal.get());
			return;
		}
		enqueue(request, check.handling(), workspace, load, entry);
		advance(request.service());
	}

	/**
	 * Lets waiting requests of a service go on while there is room.
	 * @param service the service
	 */
	void advance(ServiceName service) {
		ServiceLoad load = load(service);
		while (load.hasRoom()) {
			Optional<WorkspaceName> next = load.queue().next();
			if (next.isEmpty()) {
				break;
			}
			LimitState.Entry entry = this.state.limits().entry(next.get(), this.now, this.view);
			if (!entry.admits()) {
				load = load.with(load.queue().hold(next.get()));
				takeIn(ShareExchange.missed(this.state.limits(), this.now, this.view, next.get()));
				continue;
			}
			Waiting first = load.queue().first(next.get());
			if (inTime(first, load)) {
				load = admit(first, load, entry);
			}
			else if (isYoung(first)) {
				load = load.with(load.queue().hold(next.get()));
			}
			else {
				load = drop(first, load, tooLate(load));
			}
		}
		put(service, load);
	}

	/**
	 * Refuses what has waited to its last moment and lets the others go on.
	 */
	void tick() {
		while (!this.state.departures().isEmpty() && !this.state.departures().first().at().isAfter(this.now)) {
			Waiting late = this.state.waiting().get(this.state.departures().first().request());
			ServiceLoad load = load(late.request().service());
			boolean held = load.queue().held().contains(late.workspace());
			Refusal refusal = held ? Forecast.limitReached(Duration.ofSeconds(1)) : tooLate(load);
			put(late.request().service(), drop(late, load, refusal));
		}
		for (ServiceName service : List.copyOf(this.state.services().keySet())) {
			releaseHeld(service);
			advance(service);
		}
	}

	/**
	 * Forgets a request that still waits.
	 * @param request the request
	 */
	void forget(RequestIdentifier request) {
		Waiting waiting = this.state.waiting().get(request);
		if (waiting != null) {
			put(waiting.request().service(), takeOut(waiting, load(waiting.request().service())));
		}
	}

	/**
	 * Frees what a finished request held.
	 * @param request the request
	 * @param tokens tokens that it generated
	 */
	void finish(RequestIdentifier request, int tokens) {
		Flight flight = this.state.flights().get(request);
		if (flight == null) {
			forget(request);
			return;
		}
		this.state = this.state.withFlights(this.state.flights().minus(request));
		LimitState.Entry entry = this.state.limits().entry(flight.workspace(), this.now, this.view);
		put(flight.workspace(), entry.with(entry.meter().finish(Math.max(0, flight.tokens() - tokens))));
		ServiceLoad load = load(flight.service()).finish(this.now);
		put(flight.service(), load.with(load.queue().release(flight.workspace())));
		advance(flight.service());
	}

	ServiceLoad load(ServiceName service) {
		ServiceLoad load = this.state.services().get(service);
		return (load != null) ? load : ServiceLoad.fresh(this.policy, this.now);
	}

	private void enqueue(RequestDescription request, Handling handling, WorkspaceItem workspace, ServiceLoad load,
			LimitState.Entry entry) {
		Instant countsFrom = this.now.plus(this.policy.priorityStep().multipliedBy(behind(request.priority())));
		Instant lastStart = request.deadline().minus(load.estimate().rest());
		Instant longest = this.now.plus(this.policy.longestWait());
		Waiting waiting = new Waiting(request, handling, workspace.name(),
				new Waiting.Place(countsFrom, this.state.nextPlace()), this.now,
				lastStart.isBefore(longest) ? lastStart : longest);
		this.state = this.state.withWaiting(waiting);
		put(request.service(), load.with(load.queue().plus(waiting, workspace.weight())));
		put(workspace.name(), entry.with(entry.meter().waiting(1)));
		if (load(request.service()).queue().size() > this.policy.queueLimit()) {
			ServiceLoad full = load(request.service());
			Waiting last = full.queue().lastOfHeaviest().orElseThrow();
			Refusal refusal = Refusal.of(RefusalReason.OVERLOADED, "the queue is full",
					Forecast.comeBack(full.waitBehind(full.queue().size())));
			put(request.service(), drop(last, full, refusal));
		}
	}

	private static int behind(Priority priority) {
		return switch (priority) {
			case HIGH -> 0;
			case NORMAL -> 1;
			case LOW -> 2;
		};
	}

	private boolean inTime(Waiting waiting, ServiceLoad load) {
		// An estimate that stays too high would refuse everything, and nothing would ever
		// be measured again to lower it: while nothing is in flight, the next goes on.
		return load.inFlight() == 0
				|| !this.now.plus(load.estimate().bound(this.now)).isAfter(waiting.request().deadline());
	}

	// Latency that is high for a moment is no reason to refuse what has just come: the
	// estimate falls while nothing is sent. It would hit small workspaces hardest, whose
	// requests never wait behind their own.
	private boolean isYoung(Waiting waiting) {
		Duration patience = Duration.between(waiting.arrivedAt(), waiting.request().deadline());
		return this.now.isBefore(waiting.arrivedAt().plus(patience.dividedBy(YOUNG_PART)));
	}

	private ServiceLoad admit(Waiting waiting, ServiceLoad load, LimitState.Entry entry) {
		this.state = this.state.withoutWaiting(waiting);
		int tokens = tokens(waiting.request());
		put(waiting.workspace(), entry.with(entry.meter().waiting(-1).admit(tokens)));
		Flight flight = new Flight(waiting.workspace(), waiting.request().service(), waiting.request().maximumTokens());
		this.state = this.state.withFlights(this.state.flights().plus(waiting.request().identifier(), flight));
		this.effects.add(new NodeEffect.Raise(new RequestEvent.Admitted(waiting.request(), waiting.handling())));
		return load.admit(load.queue().admit(waiting));
	}

	private ServiceLoad drop(Waiting waiting, ServiceLoad load, Refusal refusal) {
		refuse(waiting.request().identifier(), refusal);
		return takeOut(waiting, load);
	}

	private ServiceLoad takeOut(Waiting waiting, ServiceLoad load) {
		this.state = this.state.withoutWaiting(waiting);
		LimitState.Entry entry = this.state.limits().entry(waiting.workspace(), this.now, this.view);
		put(waiting.workspace(), entry.with(entry.meter().waiting(-1)));
		return load.with(load.queue().minus(waiting));
	}

	private static Refusal tooLate(ServiceLoad load) {
		return Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the answer can't begin by the deadline",
				Forecast.comeBack(load.waitBehind(load.queue().size())));
	}

	/**
	 * Lets the workspaces go on that were lent something.
	 * @param loans what was lent
	 */
	void releaseAndAdvance(List<WorkspaceShare> loans) {
		for (ServiceName service : List.copyOf(this.state.services().keySet())) {
			ServiceLoad load = load(service);
			FairQueue queue = load.queue();
			for (WorkspaceShare loan : loans) {
				queue = queue.release(loan.workspace());
			}
			if (queue != load.queue()) {
				put(service, load.with(queue));
				advance(service);
			}
		}
	}

	private void releaseHeld(ServiceName service) {
		ServiceLoad load = load(service);
		FairQueue queue = load.queue();
		for (WorkspaceName workspace : queue.held()) {
			queue = queue.release(workspace);
		}
		put(service, load.with(queue));
	}

	private void refuse(RequestIdentifier request, Refusal refusal) {
		this.effects.add(new NodeEffect.Raise(new RequestEvent.Refused(request, new RequestOutcome.NotRun(refusal))));
	}

	private void put(ServiceName service, ServiceLoad load) {
		this.state = this.state.withService(service, load);
	}

	private void put(WorkspaceName workspace, LimitState.Entry entry) {
		this.state = this.state.withLimits(this.state.limits().with(workspace, entry));
	}

	private static int tokens(RequestDescription request) {
		return request.promptTokens() + request.maximumTokens();
	}

}
