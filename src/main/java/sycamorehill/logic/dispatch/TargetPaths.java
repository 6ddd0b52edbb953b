package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.TargetEntry;

/**
 * The network paths from this node to the targets, and through other nodes.
 */
public final class TargetPaths {

	private final TargetDirectory directory;

	private final TargetSelector targetSelector;

	private final TargetReachability reachability;

	private final ProxySelector proxySelector;

	private TargetPaths(EntrySettings settings, TargetDirectory directory, TargetSelector targetSelector,
			HomeRegionRule homeRegionRule, RandomGenerator random) {
		this.directory = directory;
		this.targetSelector = targetSelector;
		this.reachability = TargetReachability.of(settings.nodeName(), directory, random);
		this.proxySelector = ProxySelector.of(settings.dataCentre(), homeRegionRule, random);
	}

	static TargetPaths of(EntrySettings settings, TargetDirectory directory, TargetSelector targetSelector,
			HomeRegionRule homeRegionRule, RandomGenerator random) {
		return new TargetPaths(settings, directory, targetSelector, homeRegionRule, random);
	}

	TargetReachability reachability() {
		return this.reachability;
	}

	ProxySelector proxySelector() {
		return this.proxySelector;
	}

	private Optional<ServiceName> service(TargetName target) {
		return this.directory.find(target).map(TargetEntry::service);
	}

	/**
	 * Handles a new connection to a target.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleConnected(TargetName target, Instant now, Effects effects) {
		if (this.reachability.recordConnected(target, now, effects)) {
			service(target).ifPresent(this::endEjections);
		}
	}

	private void endEjections(ServiceName service) {
		this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service))
			.forEach((entry) -> this.targetSelector.status(entry.name()).endEjection());
	}

	/**
	 * Handles a target that could not be connected when its path was tested.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleUnreached(TargetName target, Instant now, Effects effects) {
		this.reachability.recordFailedConnect(target, now, effects);
	}

	/**
	 * Handles a moment in which nothing arrives from any target.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleAllTargetsSilent(Instant now, Effects effects) {
		this.reachability.recordSilence(now, effects);
	}

	/**
	 * Returns whether this node reaches no target of a target's service.
	 * @param target the target
	 * @return true if it is known to reach none
	 */
	public boolean isUnreachable(TargetName target) {
		return service(target).filter(this.reachability::isUnreachable).isPresent();
	}

	/**
	 * Returns whether the failures of a target may be the fault of this node's path.
	 * @param target the target
	 * @param now the current time
	 * @return true if they may be
	 */
	public boolean isInDoubt(TargetName target, Instant now) {
		return service(target).filter((service) -> this.reachability.isInDoubt(service, now)).isPresent();
	}

	/**
	 * Returns for how long this node has reached no target of a service that another node
	 * reaches.
	 * @param service the service
	 * @param now the current time
	 * @return the time; zero if this node reaches the service, or no other node does
	 */
	public Duration cutOffFor(ServiceName service, Instant now) {
		return this.proxySelector.isReachedElsewhere(service, now) ? this.reachability.unreachableFor(service, now)
				: Duration.ZERO;
	}

	/**
	 * Tests and reports the paths to unreachable services.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		this.reachability.tick(now, effects);
	}

}
