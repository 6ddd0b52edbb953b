package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.TargetName;

/**
 * Tracks whether this node can open connections to the targets of one service.
 */
final class ServicePath {

	/**
	 * Number of distinct targets to which connections must fail, with none succeeding in
	 * between. Fewer may have crashed together.
	 */
	private static final int MINIMUM_FAILED_TARGETS = 3;

	/** Number of distinct failed targets from which on the path is in doubt. */
	private static final int MINIMUM_SUSPICIOUS_TARGETS = 2;

	/** How long a failure counts. */
	private static final Duration FAILURE_VALIDITY = Duration.ofSeconds(1);

	/**
	 * A path that is lost again within this time after it was restored must prove itself
	 * for longer the next time.
	 */
	private static final Duration FLAPPING_TIME = Duration.ofSeconds(5);

	/** Maximum number of connections in a row that prove a path. */
	private static final int MAXIMUM_REQUIRED_CONNECTIONS = 8;

	private final Map<TargetName, Instant> failedConnects = new HashMap<>();

	private final Map<TargetName, Instant> lostConnections = new HashMap<>();

	private boolean unreachable;

	private Instant changedAt = Instant.MIN;

	private Instant connectedAt = Instant.MIN;

	private int requiredConnections = 1;

	private int connectionsInRow;

	private ServicePath() {
	}

	static ServicePath create() {
		return new ServicePath();
	}

	boolean isUnreachable() {
		return this.unreachable;
	}

	/**
	 * Returns since when the service has been reachable.
	 * @return the time; empty if it is unreachable
	 */
	Optional<Instant> reachableSince() {
		return this.unreachable ? Optional.empty() : Optional.of(this.changedAt);
	}

	Instant connectedAt() {
		return this.connectedAt;
	}

	/**
	 * Returns for how long the service has been unreachable.
	 * @param now the current time
	 * @return the time; zero if it is reachable
	 */
	Duration unreachableFor(Instant now) {
		return this.unreachable ? Duration.between(this.changedAt, now) : Duration.ZERO;
	}

	/**
	 * Returns whether several targets have failed, which may be the fault of the path.
	 * @param now the current time
	 * @return true if the path has to be tested
	 */
	boolean isInDoubt(Instant now) {
		forgetOldFailures(now);
		return failedTargets().size() >= MINIMUM_SUSPICIOUS_TARGETS;
	}

	private Set<TargetName> failedTargets() {
		Set<TargetName> targets = new HashSet<>(this.failedConnects.keySet());
		targets.addAll(this.lostConnections.keySet());
		return targets;
	}

	Set<TargetName> unconnectedTargets() {
		return Set.copyOf(this.failedConnects.keySet());
	}

	private void forgetOldFailures(Instant now) {
		Instant oldest = now.minus(FAILURE_VALIDITY);
		this.failedConnects.values().removeIf(oldest::isAfter);
		this.lostConnections.values().removeIf(oldest::isAfter);
	}

	void recordLostConnection(TargetName target, Instant now) {
		this.lostConnections.put(target, now);
	}

	/**
	 * Records an answer on an open connection. It says nothing about new connections,
	 * which may be refused while open ones work.
	 */
	void recordAnswer() {
		this.lostConnections.clear();
	}

	/**
	 * Records that a target could not be connected.
	 * @param target the target
	 * @param knownTargets number of known targets of the service
	 * @param now the current time
	 * @return true if the service has just become unreachable
	 */
	boolean recordFailedConnect(TargetName target, int knownTargets, Instant now) {
		this.connectionsInRow = 0;
		if (this.unreachable) {
			return false;
		}
		forgetOldFailures(now);
		this.failedConnects.put(target, now);
		if (this.failedConnects.size() < Math.min(MINIMUM_FAILED_TARGETS, knownTargets)) {
			return false;
		}
		boolean flapping = this.changedAt != Instant.MIN && now.isBefore(this.changedAt.plus(FLAPPING_TIME));
		this.requiredConnections = flapping ? Math.min(MAXIMUM_REQUIRED_CONNECTIONS, 2 * this.requiredConnections) : 1;
		this.unreachable = true;
		this.changedAt = now;
		return true;
	}

	/**
	 * Records a new connection to a target.
	 * @param now the current time
	 * @return true if the service has just become reachable again
	 */
	boolean recordConnected(Instant now) {
		this.connectedAt = now;
		this.connectionsInRow++;
		if (this.unreachable && this.connectionsInRow < this.requiredConnections) {
			return false;
		}
		this.failedConnects.clear();
		this.lostConnections.clear();
		if (!this.unreachable) {
			return false;
		}
		this.unreachable = false;
		this.changedAt = now;
		return true;
	}

}
