package sycamorehill.logic.request;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.logic.RandomSequence;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;

/**
 * State of the request reducer: active requests, retry budgets and a graceful shutdown.
 *
 * @param active the requests without a final answer
 * @param attempts the request of each running attempt
 * @param wakeups the scheduled checks of requests
 * @param budgets the retry budgets by service
 * @param attemptsDrawn the number of attempt identifiers issued in this incarnation of
 * the node
 * @param random the sequence of random numbers
 * @param stop the progress of a graceful shutdown, if one was requested
 */
public record RequestState(PMap<RequestIdentifier, ActiveRequest> active,
		PMap<AttemptIdentifier, RequestIdentifier> attempts, PSortedSet<Wakeup> wakeups,
		PMap<ServiceName, ServiceBudgets> budgets, long attemptsDrawn, RandomSequence random,
		Optional<StopProgress> stop) {

	/**
	 * Returns the initial state of a node.
	 * @return the state before the first event
	 */
	public static RequestState initial() {
		return new RequestState(HashTreePMap.empty(), HashTreePMap.empty(), TreePSet.empty(), HashTreePMap.empty(), 0,
				RandomSequence.of(0), Optional.empty());
	}

	/**
	 * Returns the number of requests without a final answer.
	 * @return the number, including queued requests
	 */
	public int inFlight() {
		return this.active.size();
	}

	RequestState withRandom(RandomSequence changed) {
		return new RequestState(this.active, this.attempts, this.wakeups, this.budgets, this.attemptsDrawn, changed,
				this.stop);
	}

	RequestState withStop(StopProgress progress) {
		return new RequestState(this.active, this.attempts, this.wakeups, this.budgets, this.attemptsDrawn, this.random,
				Optional.of(progress));
	}

	RequestState withBudgets(ServiceName service, ServiceBudgets changed) {
		return new RequestState(this.active, this.attempts, this.wakeups, this.budgets.plus(service, changed),
				this.attemptsDrawn, this.random, this.stop);
	}

	RequestState withAttemptDrawn() {
		return new RequestState(this.active, this.attempts, this.wakeups, this.budgets, this.attemptsDrawn + 1,
				this.random, this.stop);
	}

	/**
	 * Returns the state with a request added or replaced, and the indexes by attempt and
	 * by time updated.
	 * @param request the request
	 * @return the new state
	 */
	RequestState with(ActiveRequest request) {
		RequestState cleared = without(request.identifier());
		PMap<AttemptIdentifier, RequestIdentifier> byAttempt = cleared.attempts;
		if (request.running().isPresent()) {
			byAttempt = byAttempt.plus(request.running().get().identifier(), request.identifier());
		}
		PSortedSet<Wakeup> byTime = cleared.wakeups;
		if (request.wakeAt().isPresent()) {
			byTime = byTime.plus(new Wakeup(request.wakeAt().get(), request.identifier()));
		}
		return new RequestState(cleared.active.plus(request.identifier(), request), byAttempt, byTime, this.budgets,
				this.attemptsDrawn, this.random, this.stop);
	}

	RequestState without(RequestIdentifier identifier) {
		ActiveRequest old = this.active.get(identifier);
		if (old == null) {
			return this;
		}
		PMap<AttemptIdentifier, RequestIdentifier> byAttempt = this.attempts;
		if (old.running().isPresent()) {
			byAttempt = byAttempt.minus(old.running().get().identifier());
		}
		PSortedSet<Wakeup> byTime = this.wakeups;
		if (old.wakeAt().isPresent()) {
			byTime = byTime.minus(new Wakeup(old.wakeAt().get(), identifier));
		}
		return new RequestState(this.active.minus(identifier), byAttempt, byTime, this.budgets, this.attemptsDrawn,
				this.random, this.stop);
	}

}
