package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.policy.QuarantinePolicy;
import sycamorehill.model.request.Fingerprint;

/**
 * Accumulates the state changes and effects of one step of the quarantine reducer.
 */
final class QuarantineStep {

	private static final Duration SAME_CRASH_PERIOD = Duration.ofSeconds(5);

	private final Instant now;

	private final NodeView view;

	private final List<Effect> effects = new ArrayList<>();

	private QuarantineState state;

	QuarantineStep(QuarantineState state, Instant now, NodeView view) {
		this.state = state;
		this.now = now;
		this.view = view;
	}

	Step<QuarantineState> result() {
		return Step.of(this.state, this.effects);
	}

	QuarantineState state() {
		return this.state;
	}

	void replaceState(QuarantineState newState) {
		this.state = newState;
	}

	Instant now() {
		return this.now;
	}

	NodeView view() {
		return this.view;
	}

	QuarantinePolicy policy() {
		return this.view.policy().quarantine();
	}

	void raise(Event event) {
		this.effects.add(new NodeEffect.Raise(event));
	}

	void log(LogEvent event, String detail) {
		this.effects.add(new NodeEffect.WriteLog(LogLine.of(event, detail)));
	}

	void send(NodeIdentity to, PeerMessage message) {
		this.effects.add(new PeerEffect.Send(to, message));
	}

	void sendToPeers(PeerMessage message) {
		peers().forEach((node) -> send(node, message));
	}

	List<NodeIdentity> peers() {
		return this.view.liveNodes()
			.nodes()
			.values()
			.stream()
			.map((node) -> node.identity())
			.filter((node) -> !node.equals(this.view.self()))
			.toList();
	}

	boolean isQuarantined(Fingerprint fingerprint) {
		return this.state.isQuarantined(fingerprint, this.now);
	}

	Optional<Suspect> suspect(Fingerprint fingerprint) {
		return this.state.suspects().get(fingerprint, this.now);
	}

	/**
	 * Records that a target crashed while it ran content.
	 * @param fingerprint the fingerprint of the content
	 * @param target the target
	 */
	void addCrash(Fingerprint fingerprint, TargetName target) {
		if (isQuarantined(fingerprint) || isExplained(target)) {
			return;
		}
		recordRecentCrash(target);
		Suspect suspect = suspect(fingerprint).orElse(Suspect.withoutCrashes())
			.withCrash(target, this.now, SAME_CRASH_PERIOD);
		Instant until = this.now.plus(policy().suspicion());
		this.state = this.state
			.withSuspects(this.state.suspects().with(fingerprint, suspect, until, policy().mostContents()));
	}

	private void recordRecentCrash(TargetName target) {
		if (!this.state.recentDeaths().containsKey(target)) {
			this.state = this.state.withRecentDeaths(this.state.recentDeaths().plus(target, this.now));
		}
	}

	/**
	 * Removes a target's crash from the record of suspect content.
	 * @param fingerprint the fingerprint of the content
	 * @param target the target that did not crash, or whose crash is attributed to other
	 * content
	 * @return whether no other crash is recorded for the content
	 */
	boolean removeCrash(Fingerprint fingerprint, TargetName target) {
		Optional<Suspect> found = suspect(fingerprint);
		if (found.isEmpty()) {
			return false;
		}
		Suspect remaining = found.get().withoutCrash(target);
		if (remaining.deaths().isEmpty()) {
			clearSuspect(fingerprint);
			return true;
		}
		Instant until = this.state.suspects().entries().get(fingerprint).until();
		this.state = this.state
			.withSuspects(this.state.suspects().with(fingerprint, remaining, until, policy().mostContents()));
		return false;
	}

	void clearSuspect(Fingerprint fingerprint) {
		this.state = this.state.withSuspects(this.state.suspects().without(fingerprint));
	}

	/**
	 * Quarantines content, or extends its quarantine.
	 * @param fingerprint the fingerprint of the content
	 * @param until the earliest monotonic time at which the quarantine may expire
	 */
	void quarantine(Fingerprint fingerprint, Instant until) {
		clearSuspect(fingerprint);
		ExpiringContentMap.Entry<Instant> known = this.state.quarantine().entries().get(fingerprint);
		if (known == null || known.until().isBefore(until)) {
			this.state = this.state
				.withQuarantine(this.state.quarantine().with(fingerprint, this.now, until, policy().mostContents()));
		}
	}

	/**
	 * Attributes the crashes of targets to quarantined content, and clears the content
	 * that ran beside it: these crashes are no evidence against it.
	 * @param targets the crashed targets
	 */
	void attributeCrashes(List<TargetName> targets) {
		for (TargetName target : targets) {
			this.state = this.state.withExplained(this.state.explained().plus(target, this.now));
		}
		// The loop over all suspects is cheap: suspects are few, and it runs only when
		// content is quarantined.
		List<Fingerprint> suspects = List.copyOf(this.state.suspects().entries().keySet());
		for (Fingerprint fingerprint : suspects) {
			targets.forEach((target) -> removeCrash(fingerprint, target));
		}
	}

	boolean isExplained(TargetName target) {
		return this.state.explained().containsKey(target);
	}

	/**
	 * Returns whether so many targets crashed recently that the cause is not one request
	 * but the failure of a fabric domain or a network link.
	 * @return whether it is a mass crash
	 */
	boolean isMassCrash() {
		return this.state.recentDeaths().size() >= policy().massDeaths();
	}

	/**
	 * Removes expired entries. The maps by target hold only the last few seconds and are
	 * usually empty.
	 */
	void removeExpired() {
		this.state = this.state.withSuspects(this.state.suspects().withoutExpired(this.now))
			.withQuarantine(this.state.quarantine().withoutExpired(this.now));
		Instant oldestKept = this.now.minus(SAME_CRASH_PERIOD);
		for (TargetName target : List.copyOf(this.state.recentDeaths().keySet())) {
			if (this.state.recentDeaths().get(target).isBefore(oldestKept)) {
				this.state = this.state.withRecentDeaths(this.state.recentDeaths().minus(target));
			}
		}
		for (TargetName target : List.copyOf(this.state.explained().keySet())) {
			if (this.state.explained().get(target).isBefore(oldestKept)) {
				this.state = this.state.withExplained(this.state.explained().minus(target));
			}
		}
		for (TargetName target : List.copyOf(this.state.breaks().keySet())) {
			SuspectedCrash found = this.state.breaks().get(target);
			if (found.settled() && found.since().isBefore(oldestKept)) {
				this.state = this.state.withBreaks(this.state.breaks().minus(target));
			}
		}
	}

}
