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
 * State of the quarantine reducer: suspect and quarantined content, and the crashes
 * behind it.
 *
 * @param running the running attempts of this node
 * @param suspects the content that ran on targets when they crashed
 * @param quarantine the quarantined content, with the time at which the quarantine began
 * or was last extended
 * @param breaks the suspected and the recently confirmed crashes by target
 * @param recentDeaths the targets that crashed recently, with the time at which this node
 * learned of the crash
 * @param explained the targets whose recent crash is attributed to quarantined content,
 * with the time of that decision
 * @param asks the unanswered requests to arbiters
 * @param held the isolation slots assigned to requests of this node
 * @param arbiter the state of this node as an arbiter
 * @param random the sequence of random numbers
 * @param digestAt the time of the next digest of quarantined content to another node
 */
public record QuarantineState(PMap<AttemptIdentifier, RunningContent> running, ExpiringContentMap<Suspect> suspects,
		ExpiringContentMap<Instant> quarantine, PMap<TargetName, SuspectedCrash> breaks,
		PMap<TargetName, Instant> recentDeaths, PMap<TargetName, Instant> explained,
		PMap<RequestIdentifier, PendingIsolationAsk> asks, PMap<RequestIdentifier, IsolationSlot> held,
		ArbiterState arbiter, RandomSequence random, Instant digestAt) {

	/**
	 * Returns the initial state of a node.
	 * @return the state before the first event
	 */
	public static QuarantineState initial() {
		return new QuarantineState(HashTreePMap.empty(), ExpiringContentMap.empty(), ExpiringContentMap.empty(),
				HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(),
				HashTreePMap.empty(), ArbiterState.initial(), RandomSequence.of(0), Instant.MIN);
	}

	/**
	 * Returns whether content is quarantined.
	 * @param fingerprint the fingerprint of the content
	 * @param now the current monotonic time
	 * @return whether the content must not be sent to a target
	 */
	public boolean isQuarantined(Fingerprint fingerprint, Instant now) {
		return this.quarantine.get(fingerprint, now).isPresent();
	}

	/**
	 * Returns whether content is suspect, so that it may only run on a target without
	 * other suspects.
	 * @param fingerprint the fingerprint of the content
	 * @param now the current monotonic time
	 * @return whether the content is suspect
	 */
	public boolean isSuspect(Fingerprint fingerprint, Instant now) {
		return this.suspects.get(fingerprint, now).isPresent();
	}

	/**
	 * Returns the number of suspect contents.
	 * @return the number
	 */
	public int suspectCount() {
		return this.suspects.entries().size();
	}

	/**
	 * Returns the number of quarantined contents.
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
