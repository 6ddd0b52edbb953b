package sycamorehill.logic.dispatch;

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

	private final Map<String, Set<TargetName>> toldBefore = new HashMap<>();

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
		Set<TargetName> before = this.toldBefore.put(told.sender(), told.requests().keySet());
		if (before != null) {
			before.stream()
				.filter((target) -> !told.requests().containsKey(target))
				.forEach((target) -> of(target).others(told.sender(), 0, now));
		}
		told.requests().forEach((target, requests) -> of(target).others(told.sender(), requests, now));
	}

	void forget(TargetName target) {
		TargetLoad load = this.loads.get(target);
		if (load != null && load.inFlight() == 0) {
			this.loads.remove(target);
		}
	}

}
