package sycamorehill.logic.quarantine;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.RandomSequence;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * State of the part: content that crashes targets.
 *
 * @param running the attempts of this node under way
 * @param suspects content that targets ran when they died
 * @param quarantine content that is refused, and since when
 * @param breaks targets whose connections were lost lately
 * @param recentDeaths when each target that died lately was heard to
 * @param explained targets whose death was put down to quarantined content lately
 * @param asks questions to arbiters without an answer
 * @param held places that arbiters gave to requests of this node
 * @param arbiter what this node keeps as an arbiter
 * @param random the random numbers to come
 * @param digestAt when another node is next told what is quarantined
 */
public record QuarantineState(PMap<AttemptIdentifier, RunningContent> running, ExpiringContentMap<Suspect> suspects,
		ExpiringContentMap<Instant> quarantine, PMap<TargetName, SuspectedCrash> breaks,
		PMap<TargetName, Instant> recentDeaths, PMap<TargetName, Instant> explained,
		PMap<RequestIdentifier, PendingIsolationAsk> asks, PMap<RequestIdentifier, IsolationSlot> held,
		ArbiterState arbiter, RandomSequence random, Instant digestAt) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static QuarantineState initial() {
		return new QuarantineState(HashTreePMap.empty(), ExpiringContentMap.empty(), ExpiringContentMap.empty(),
				HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(),
				HashTreePMap.empty(), ArbiterState.initial(), RandomSequence.of(0), Instant.MIN);
	}

	/**
	 * Whether content is refused.
	 * @param fingerprint the content
	 * @param now monotonic time
	 * @return whether it must not be sent
	 */
	public boolean isQuarantined(Fingerprint fingerprint, Instant now) {
		return this.quarantine.get(fingerprint, now).isPresent();
	}

	/**
	 * Whether content may run only where no other suspect runs.
	 * @param fingerprint the content
	 * @param now monotonic time
	 * @return whether it is suspected
	 */
	public boolean isSuspect(Fingerprint fingerprint, Instant now) {
		return this.suspects.get(fingerprint, now).isPresent();
	}

	/**
	 * How many contents are suspected.
	 * @return the number
	 */
	public int suspectCount() {
		return this.suspects.entries().size();
	}

	/**
	 * How many contents are refused.
	 * @return the number
	 */
	public int quarantinedCount() {
		return this.quarantine.entries().size();
	}

	QuarantineState withRunning(PMap<AttemptIdentifier, RunningContent> changed) {
		return new QuarantineState(changed, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withSuspects(ExpiringContentMap<Suspect> changed) {
		return new QuarantineState(this.running, changed, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withQuarantine(ExpiringContentMap<Instant> changed) {
		return new QuarantineState(this.running, this.suspects, changed, this.breaks, this.recentDeaths, this.explained,
				this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withBreaks(PMap<TargetName, SuspectedCrash> changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, changed, this.recentDeaths,
				this.explained, this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withRecentDeaths(PMap<TargetName, Instant> changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, changed, this.explained,
				this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withExplained(PMap<TargetName, Instant> changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				changed, this.asks, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withAsks(PMap<RequestIdentifier, PendingIsolationAsk> changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, changed, this.held, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withHeld(PMap<RequestIdentifier, IsolationSlot> changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, changed, this.arbiter, this.random, this.digestAt);
	}

	QuarantineState withArbiter(ArbiterState changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, this.held, changed, this.random, this.digestAt);
	}

	QuarantineState withRandom(RandomSequence changed) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, this.held, this.arbiter, changed, this.digestAt);
	}

	QuarantineState withDigestAt(Instant at) {
		return new QuarantineState(this.running, this.suspects, this.quarantine, this.breaks, this.recentDeaths,
				this.explained, this.asks, this.held, this.arbiter, this.random, at);
	}

}
