package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.PathState;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;

/**
 * Determines of which services this node reaches no target. The failures of single
 * targets don't show that it is the node that has lost its network path; connections to
 * several targets do. When failures raise a doubt, connections are opened for this
 * purpose alone, so that a few milliseconds decide.
 */
final class TargetReachability implements PathState {

	/** Number of targets of a service that are connected to settle a doubt. */
	private static final int PROBES_IN_DOUBT = 3;

	/** Number of targets of an unreachable service that are connected at once. */
	private static final int PROBES_WHILE_UNREACHABLE = 2;

	/** Interval between two probes of a service. */
	private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);

	/** Interval at which other nodes are told, which may have missed a message. */
	private static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(1);

	private final String nodeName;

	private final TargetDirectory directory;

	private final RandomGenerator random;

	private final Map<ServiceName, ServicePath> paths = new HashMap<>();

	private final Map<ServiceName, Instant> probedAt = new HashMap<>();

	private Instant broadcastAt = Instant.MIN;

	/** Whether nothing has arrived since all streams became silent. */
	private boolean allTargetsSilent;

	private TargetReachability(String nodeName, TargetDirectory directory, RandomGenerator random) {
		this.nodeName = nodeName;
		this.directory = directory;
		this.random = random;
	}

	static TargetReachability of(String nodeName, TargetDirectory directory, RandomGenerator random) {
		return new TargetReachability(nodeName, directory, random);
	}

	boolean isUnreachable(ServiceName service) {
		ServicePath path = this.paths.get(service);
		return path != null && path.isUnreachable();
	}

	/**
	 * Returns for how long a service has been unreachable.
	 * @param service the service
	 * @param now the current time
	 * @return the time; zero if it is reachable
	 */
	Duration unreachableFor(ServiceName service, Instant now) {
		ServicePath path = this.paths.get(service);
		return (path != null) ? path.unreachableFor(now) : Duration.ZERO;
	}

	@Override
	public boolean isInDoubt(ServiceName service, Instant now) {
		ServicePath path = this.paths.get(service);
		return this.allTargetsSilent || (path != null && (path.isUnreachable() || path.isInDoubt(now)));
	}

	@Override
	public Optional<Instant> reachableSince(ServiceName service) {
		ServicePath path = this.paths.get(service);
		return (path != null) ? path.reachableSince() : Optional.of(Instant.MIN);
	}

	@Override
	public Instant connectedAt(ServiceName service) {
		ServicePath path = this.paths.get(service);
		return (path != null) ? path.connectedAt() : Instant.MIN;
	}

	private ServicePath path(ServiceName service) {
		return this.paths.computeIfAbsent(service, (name) -> ServicePath.create());
	}

	/**
	 * Records that a target could not be connected.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordFailedConnect(TargetName target, Instant now, Effects effects) {
		this.directory.find(target).map(TargetEntry::service).ifPresent((service) -> {
			ServicePath path = path(service);
			if (path.recordFailedConnect(target, targetsOf(service).size(), now)) {
				effects.log(LogEvent.SERVICE_UNREACHABLE,
						"service=" + service + " failed-targets=" + path.unconnectedTargets().size());
				effects.add(new EntryEffect.ReportStalledTargets());
				broadcast(now, effects);
				probeAllServices(now, effects);
			}
			else {
				probeInDoubt(service, now, effects);
			}
		});
	}

	/**
	 * Records that a connection to a target was lost within a request.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordLostConnection(TargetName target, Instant now, Effects effects) {
		this.directory.find(target).map(TargetEntry::service).ifPresent((service) -> {
			path(service).recordLostConnection(target, now);
			probeInDoubt(service, now, effects);
		});
	}

	/**
	 * Records an answer of a target.
	 * @param target the target
	 */
	void recordAnswer(TargetName target) {
		this.allTargetsSilent = false;
		this.directory.find(target).map(TargetEntry::service).map(this.paths::get).ifPresent(ServicePath::recordAnswer);
	}

	/**
	 * Records a new connection to a target.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if the target's service has just become reachable again
	 */
	boolean recordConnected(TargetName target, Instant now, Effects effects) {
		this.allTargetsSilent = false;
		ServicePath path = this.directory.find(target).map(TargetEntry::service).map(this.paths::get).orElse(null);
		if (path == null) {
			return false;
		}
		long unreachableMillis = path.unreachableFor(now).toMillis();
		if (!path.recordConnected(now)) {
			return false;
		}
		effects.log(LogEvent.SERVICE_REACHABLE, "service=" + this.directory.find(target).get().service() + " target="
				+ target + " unreachable-millis=" + unreachableMillis);
		broadcast(now, effects);
		return true;
	}

	/**
	 * Records that nothing arrives from any target, and tests the paths to all services.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordSilence(Instant now, Effects effects) {
		this.allTargetsSilent = true;
		probeAllServices(now, effects);
	}

	private void probeAllServices(Instant now, Effects effects) {
		Set<ServiceName> services = this.directory.all().stream().map(TargetEntry::service).collect(Collectors.toSet());
		services.forEach((service) -> probe(service, PROBES_IN_DOUBT, now, effects));
	}

	/**
	 * Continues to test the paths to unreachable services, and reports them to the other
	 * nodes.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		Set<ServiceName> unreachable = unreachableServices();
		unreachable.forEach((service) -> probe(service, PROBES_WHILE_UNREACHABLE, now, effects));
		if (!unreachable.isEmpty() && !now.isBefore(this.broadcastAt.plus(BROADCAST_INTERVAL))) {
			broadcast(now, effects);
		}
	}

	private Set<ServiceName> unreachableServices() {
		return this.paths.entrySet()
			.stream()
			.filter((path) -> path.getValue().isUnreachable())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	private void broadcast(Instant now, Effects effects) {
		this.broadcastAt = now;
		effects
			.add(new EntryEffect.Broadcast(new NodeMessage.ServicesUnreachable(this.nodeName, unreachableServices())));
	}

	private void probeInDoubt(ServiceName service, Instant now, Effects effects) {
		if (path(service).isInDoubt(now)) {
			probe(service, PROBES_IN_DOUBT, now, effects);
		}
	}

	// Targets that have just failed are tested only if there are too few others. Those in
	// evacuated data centres are not, because they may be switched off there.
	private void probe(ServiceName service, int count, Instant now, Effects effects) {
		Instant last = this.probedAt.get(service);
		if (last != null && now.isBefore(last.plus(PROBE_INTERVAL))) {
			return;
		}
		this.probedAt.put(service, now);
		Set<TargetName> failed = path(service).unconnectedTargets();
		Map<Boolean, List<TargetAddress>> targets = targetsOf(service).stream()
			.filter((target) -> !isEvacuated(target.name()))
			.collect(Collectors.partitioningBy((target) -> failed.contains(target.name())));
		List<TargetAddress> chosen = Stream.of(false, true)
			.flatMap((hasFailed) -> draw(targets.get(hasFailed), count).stream())
			.limit(count)
			.toList();
		if (!chosen.isEmpty()) {
			effects.add(new EntryEffect.ProbeTargets(chosen));
		}
	}

	private boolean isEvacuated(TargetName target) {
		return this.directory.find(target).filter(this.directory::isEvacuated).isPresent();
	}

	private List<TargetAddress> draw(List<TargetAddress> targets, int count) {
		List<TargetAddress> remaining = new ArrayList<>(targets);
		List<TargetAddress> drawn = new ArrayList<>();
		while (drawn.size() < count && !remaining.isEmpty()) {
			drawn.add(remaining.remove(this.random.nextInt(remaining.size())));
		}
		return drawn;
	}

	private List<TargetAddress> targetsOf(ServiceName service) {
		return this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service) && !entry.leaving())
			.map((entry) -> new TargetAddress(entry.name(), entry.address()))
			.toList();
	}

}
