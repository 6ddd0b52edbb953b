package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * The admission state of a node.
 *
 * @param services the load by service
 * @param waiting the waiting requests
 * @param departures the latest times at which waiting requests are refused, earliest
 * first
 * @param flights the requests that were admitted and have not finished
 * @param attempts the attempts whose first token has not arrived
 * @param limits the workspace limits
 * @param stopFrom when a stopping node starts to refuse requests, empty if it is not
 * stopping
 * @param nextPlace the number of the next request that waits
 */
public record AdmissionState(PMap<ServiceName, ServiceLoad> services, PMap<RequestIdentifier, WaitingRequest> waiting,
		PSortedSet<WaitDeadline> departures, PMap<RequestIdentifier, AdmittedRequest> flights,
		PMap<AttemptIdentifier, SentAttempt> attempts, LimitState limits, Optional<Instant> stopFrom, long nextPlace) {

	/**
	 * Returns the state of a node that has just started.
	 * @return the state before the first event
	 */
	public static AdmissionState initial() {
		return new AdmissionState(HashTreePMap.empty(), HashTreePMap.empty(), TreePSet.empty(), HashTreePMap.empty(),
				HashTreePMap.empty(), LimitState.initial(), Optional.empty(), 0);
	}

	AdmissionState withService(ServiceName service, ServiceLoad load) {
		return new AdmissionState(this.services.plus(service, load), this.waiting, this.departures, this.flights,
				this.attempts, this.limits, this.stopFrom, this.nextPlace);
	}

	AdmissionState withLimits(LimitState changed) {
		return (changed == this.limits) ? this : new AdmissionState(this.services, this.waiting, this.departures,
				this.flights, this.attempts, changed, this.stopFrom, this.nextPlace);
	}

	AdmissionState withWaiting(WaitingRequest added) {
		WaitDeadline deadline = new WaitDeadline(added.leaveBy(), added.place().number(), added.request().identifier());
		return new AdmissionState(this.services, this.waiting.plus(added.request().identifier(), added),
				this.departures.plus(deadline), this.flights, this.attempts, this.limits, this.stopFrom,
				this.nextPlace + 1);
	}

	AdmissionState withoutWaiting(WaitingRequest removed) {
		WaitDeadline deadline = new WaitDeadline(removed.leaveBy(), removed.place().number(),
				removed.request().identifier());
		return new AdmissionState(this.services, this.waiting.minus(removed.request().identifier()),
				this.departures.minus(deadline), this.flights, this.attempts, this.limits, this.stopFrom,
				this.nextPlace);
	}

	AdmissionState withFlights(PMap<RequestIdentifier, AdmittedRequest> changed) {
		return new AdmissionState(this.services, this.waiting, this.departures, changed, this.attempts, this.limits,
				this.stopFrom, this.nextPlace);
	}

	AdmissionState withAttempts(PMap<AttemptIdentifier, SentAttempt> changed) {
		return new AdmissionState(this.services, this.waiting, this.departures, this.flights, changed, this.limits,
				this.stopFrom, this.nextPlace);
	}

	AdmissionState withStopFrom(Instant from) {
		return new AdmissionState(this.services, this.waiting, this.departures, this.flights, this.attempts,
				this.limits, Optional.of(from), this.nextPlace);
	}

	/**
	 * The latest time at which a waiting request is refused.
	 *
	 * @param at the time
	 * @param number the number in the queue, which orders requests with the same time
	 * @param request the request
	 */
	record WaitDeadline(Instant at, long number, RequestIdentifier request) implements Comparable<WaitDeadline> {

		@Override
		public int compareTo(WaitDeadline other) {
			int byTime = this.at.compareTo(other.at);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	/**
	 * A request that was admitted and has not finished.
	 *
	 * @param workspace the workspace that sent it
	 * @param service the requested service
	 * @param tokens the tokens that were admitted for its answer
	 */
	record AdmittedRequest(WorkspaceName workspace, ServiceName service, int tokens) {
	}

	/**
	 * An attempt whose first token has not arrived.
	 *
	 * @param service the requested service
	 * @param at when it was sent
	 */
	record SentAttempt(ServiceName service, Instant at) {
	}

}
