package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.NodeMessage;

/**
 * What this node knows of the loads of all targets.
 */
final class TargetLoads {

	private final Map<TargetName, TargetLoad> loads = new HashMap<>();

	/** What another node told is good for this long at least. */
	private static final Duration LEAST_VALID = Duration.ofMillis(900);

	/**
	 * What another node told is good for so many times the pause between its messages:
	 * two of them may be lost. Many nodes tell each other more rarely than few.
	 */
	private static final int MESSAGES_VALID = 3;

	/** Longer than this nothing is good: an answer takes 1 to 2 s. */
	private static final Duration LONGEST_VALID = Duration.ofSeconds(4);

	private final Map<String, Set<TargetName>> toldBefore = new HashMap<>();

	private final Map<String, Instant> heardAt = new HashMap<>();

	private TargetLoads() {
	}

	static TargetLoads create() {
		return new TargetLoads();
	}

	/**
	 * The load of a target, which is begun if nothing was known of it.
	 * @param target the target
	 * @return its load
	 */
	TargetLoad of(TargetName target) {
		return this.loads.computeIfAbsent(target, (name) -> new TargetLoad());
	}

	/**
	 * The loads that are known.
	 * @return the loads by target
	 */
	Map<TargetName, TargetLoad> known() {
		return this.loads;
	}

	int requests(TargetName target, Instant now) {
		TargetLoad load = this.loads.get(target);
		return (load != null) ? load.requests(now) : 0;
	}

	Map<TargetName, Integer> inFlight() {
		Map<TargetName, Integer> requests = new HashMap<>();
		this.loads.forEach((target, load) -> {
			if (load.inFlight() > 0) {
				requests.put(target, load.inFlight());
			}
		});
		return requests;
	}

	/**
	 * Takes what another node told; targets that it names no more have no requests of it.
	 * @param told the requests of the other node
	 * @param now the present time
	 */
	void heard(NodeMessage.Loads told, Instant now) {
		Instant validUntil = now.plus(validity(this.heardAt.put(told.sender(), now), now));
		Set<TargetName> before = this.toldBefore.put(told.sender(), told.requests().keySet());
		if (before != null) {
			before.stream()
				.filter((target) -> !told.requests().containsKey(target))
				.forEach((target) -> of(target).others(told.sender(), 0, validUntil));
		}
		told.requests().forEach((target, requests) -> of(target).others(told.sender(), requests, validUntil));
	}

	/**
	 * Takes what another node has just placed.
	 * @param placed the request
	 * @param now the present time
	 */
	void heard(NodeMessage.Placed placed, Instant now) {
		TargetLoad load = of(placed.target());
		load.placedBy(placed.sender(), now.plus(LEAST_VALID));
		load.reads(placed.reading(), now);
	}

	private static Duration validity(Instant before, Instant now) {
		Duration pauses = (before != null) ? Duration.between(before, now).multipliedBy(MESSAGES_VALID) : LEAST_VALID;
		if (pauses.compareTo(LEAST_VALID) < 0) {
			return LEAST_VALID;
		}
		return (pauses.compareTo(LONGEST_VALID) > 0) ? LONGEST_VALID : pauses;
	}

	void forget(TargetName target) {
		TargetLoad load = this.loads.get(target);
		if (load != null && load.inFlight() == 0) {
			this.loads.remove(target);
		}
	}

}
