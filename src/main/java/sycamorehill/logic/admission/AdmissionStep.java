package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.admission.AdmissionState.AdmittedRequest;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.peer.WorkspaceShare;
import sycamorehill.model.policy.AdmissionPolicy;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Handles one event for the admission state. It queues requests, admits them by fair
 * queueing and refuses those that can't be served in time.
 */
final class AdmissionStep {

	/** A request counts as recent for its timeout divided by this number. */
	private static final int RECENT_ARRIVAL_DIVISOR = 4;

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

	Step<AdmissionState> result() {
		return Step.of(this.state, this.effects);
	}

	AdmissionState state() {
		return this.state;
	}

	void setState(AdmissionState changed) {
		this.state = changed;
	}

	void applyLimits(Step<LimitState> limits) {
		this.state = this.state.withLimits(limits.state());
		this.effects.addAll(limits.effects());
	}

	/**
	 * Queues a request, or refuses it at once.
	 * @param request the request
	 */
	void handleArrival(RequestDescription request) {
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
		this.state = this.state.withLimits(this.state.limits().withCurrentDivisor(this.view));
		LimitState.WorkspaceEntry entry = this.state.limits().entry(workspace.name(), this.now, this.view);
		entry = entry.with(entry.meter().recordOffered(tokens(request)));
		put(workspace.name(), entry);
		ServiceLoad load = serviceLoad(request.service());
		Optional<Refusal> refusal = AdmissionForecast.of(load, entry, workspace, this.now)
			.refusal(request, this.policy);
		if (refusal.isPresent()) {
			refuse(request.identifier(), refusal.get());
			return;
		}
		enqueue(request, check.idempotency(), workspace, load, entry);
		admitWaiting(request.service());
	}

	/**
	 * Admits waiting requests of a service while its concurrency limit has capacity.
	 * @param service the service
	 */
	void admitWaiting(ServiceName service) {
		ServiceLoad load = serviceLoad(service);
		while (load.hasCapacity()) {
			Optional<WorkspaceName> next = load.queue().nextWorkspace();
			if (next.isEmpty()) {
				break;
			}
			LimitState.WorkspaceEntry entry = this.state.limits().entry(next.get(), this.now, this.view);
			if (!entry.admits()) {
				load = load.with(load.queue().hold(next.get()));
				applyLimits(ShareExchange.askForShortfall(this.state.limits(), this.now, this.view, next.get()));
				continue;
			}
			WaitingRequest first = load.queue().firstOf(next.get());
			if (canMeetDeadline(first, load)) {
				load = admit(first, load, entry);
			}
			else if (arrivedRecently(first)) {
				load = load.with(load.queue().hold(next.get()));
			}
			else {
				load = refuseWaiting(first, load, deadlineTooShort(load));
			}
		}
		put(service, load);
	}

	/**
	 * Refuses the requests whose wait has reached its end and admits others.
	 */
	void handleTick() {
		while (!this.state.departures().isEmpty() && !this.state.departures().first().at().isAfter(this.now)) {
			WaitingRequest expired = this.state.waiting().get(this.state.departures().first().request());
			ServiceLoad load = serviceLoad(expired.request().service());
			boolean waitsForLimit = load.queue().held().contains(expired.workspace());
			Refusal refusal = waitsForLimit ? AdmissionForecast.limitReached(Duration.ofSeconds(1))
					: deadlineTooShort(load);
			put(expired.request().service(), refuseWaiting(expired, load, refusal));
		}
		for (ServiceName service : List.copyOf(this.state.services().keySet())) {
			releaseHeld(service);
			admitWaiting(service);
		}
	}

	/**
	 * Removes a request that is still waiting.
	 * @param request the request
	 */
	void removeWaiting(RequestIdentifier request) {
		WaitingRequest waiting = this.state.waiting().get(request);
		if (waiting != null) {
			put(waiting.request().service(), dequeue(waiting, serviceLoad(waiting.request().service())));
		}
	}

	/**
	 * Releases the capacity that a finished request occupied.
	 * @param request the request
	 * @param tokens the number of tokens that it generated
	 */
	void handleFinished(RequestIdentifier request, int tokens) {
		AdmittedRequest admitted = this.state.flights().get(request);
		if (admitted == null) {
			removeWaiting(request);
			return;
		}
		this.state = this.state.withFlights(this.state.flights().minus(request));
		LimitState.WorkspaceEntry entry = this.state.limits().entry(admitted.workspace(), this.now, this.view);
		put(admitted.workspace(), entry.with(entry.meter().finish(Math.max(0, admitted.tokens() - tokens))));
		ServiceLoad load = serviceLoad(admitted.service()).finish(this.now);
		put(admitted.service(), load.with(load.queue().release(admitted.workspace())));
		admitWaiting(admitted.service());
	}

	ServiceLoad serviceLoad(ServiceName service) {
		ServiceLoad load = this.state.services().get(service);
		return (load != null) ? load : ServiceLoad.fresh(this.policy, this.now);
	}

	private void enqueue(RequestDescription request, Idempotency idempotency, WorkspaceItem workspace, ServiceLoad load,
			LimitState.WorkspaceEntry entry) {
		Instant effectiveArrival = this.now
			.plus(this.policy.priorityStep().multipliedBy(priorityLevel(request.priority())));
		Instant lastStart = request.deadline().minus(load.estimate().baseline());
		Instant queueDeadline = this.now.plus(this.policy.longestWait());
		WaitingRequest waiting = new WaitingRequest(request, idempotency, workspace.name(),
				new WaitingRequest.QueuePosition(effectiveArrival, this.state.nextPlace()), this.now,
				lastStart.isBefore(queueDeadline) ? lastStart : queueDeadline);
		this.state = this.state.withWaiting(waiting);
		put(request.service(), load.with(load.queue().plus(waiting, workspace.weight())));
		put(workspace.name(), entry.with(entry.meter().withWaitingChange(1)));
		if (serviceLoad(request.service()).queue().size() > this.policy.queueLimit()) {
			ServiceLoad full = serviceLoad(request.service());
			WaitingRequest last = full.queue().lastOfMostLoaded().orElseThrow();
			Refusal refusal = Refusal.of(RefusalReason.OVERLOADED, "the queue is full",
					AdmissionForecast.retryAfter(full.estimatedWait(full.queue().size())));
			put(request.service(), refuseWaiting(last, full, refusal));
		}
	}

	private static int priorityLevel(Priority priority) {
		return switch (priority) {
			case HIGH -> 0;
			case NORMAL -> 1;
			case LOW -> 2;
		};
	}

	private boolean canMeetDeadline(WaitingRequest waiting, ServiceLoad load) {
		// While nothing is in flight, the next request is admitted whatever the estimate.
		// An estimate that stays too high would otherwise refuse every request, and no
		// new measurement could lower it.
		return load.inFlight() == 0
				|| !this.now.plus(load.estimate().upperBound(this.now)).isAfter(waiting.request().deadline());
	}

	// A short latency spike is no reason to refuse a request that has just arrived,
	// because the estimate falls while nothing is sent. Refusing it would hit small
	// workspaces hardest, whose requests never wait behind their own.
	private boolean arrivedRecently(WaitingRequest waiting) {
		Duration timeout = Duration.between(waiting.arrivedAt(), waiting.request().deadline());
		return this.now.isBefore(waiting.arrivedAt().plus(timeout.dividedBy(RECENT_ARRIVAL_DIVISOR)));
	}

	private ServiceLoad admit(WaitingRequest waiting, ServiceLoad load, LimitState.WorkspaceEntry entry) {
		this.state = this.state.withoutWaiting(waiting);
		int tokens = tokens(waiting.request());
		put(waiting.workspace(), entry.with(entry.meter().withWaitingChange(-1).admit(tokens)));
		AdmittedRequest admitted = new AdmittedRequest(waiting.workspace(), waiting.request().service(),
				waiting.request().maximumTokens());
		this.state = this.state.withFlights(this.state.flights().plus(waiting.request().identifier(), admitted));
		this.effects.add(new NodeEffect.Raise(new RequestEvent.Admitted(waiting.request(), waiting.handling())));
		return load.admit(load.queue().admit(waiting));
	}

	private ServiceLoad refuseWaiting(WaitingRequest waiting, ServiceLoad load, Refusal refusal) {
		refuse(waiting.request().identifier(), refusal);
		return dequeue(waiting, load);
	}

	private ServiceLoad dequeue(WaitingRequest waiting, ServiceLoad load) {
		this.state = this.state.withoutWaiting(waiting);
		LimitState.WorkspaceEntry entry = this.state.limits().entry(waiting.workspace(), this.now, this.view);
		put(waiting.workspace(), entry.with(entry.meter().withWaitingChange(-1)));
		return load.with(load.queue().minus(waiting));
	}

	private static Refusal deadlineTooShort(ServiceLoad load) {
		return Refusal.of(RefusalReason.DEADLINE_TOO_SHORT, "the answer can't begin by the deadline",
				AdmissionForecast.retryAfter(load.estimatedWait(load.queue().size())));
	}

	/**
	 * Lets the workspaces that received a loan take part again, and admits their
	 * requests.
	 * @param loans the amounts that were lent
	 */
	void releaseAndAdmit(List<WorkspaceShare> loans) {
		for (ServiceName service : List.copyOf(this.state.services().keySet())) {
			ServiceLoad load = serviceLoad(service);
			FairQueue queue = load.queue();
			for (WorkspaceShare loan : loans) {
				queue = queue.release(loan.workspace());
			}
			if (queue != load.queue()) {
				put(service, load.with(queue));
				admitWaiting(service);
			}
		}
	}

	private void releaseHeld(ServiceName service) {
		ServiceLoad load = serviceLoad(service);
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

	private void put(WorkspaceName workspace, LimitState.WorkspaceEntry entry) {
		this.state = this.state.withLimits(this.state.limits().with(workspace, entry));
	}

	private static int tokens(RequestDescription request) {
		return request.promptTokens() + request.maximumTokens();
	}

}
