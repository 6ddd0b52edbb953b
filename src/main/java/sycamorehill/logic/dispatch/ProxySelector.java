package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

/**
 * Selects the node through which a request is sent to a service that this node doesn't
 * reach.
 */
final class ProxySelector {

	/**
	 * Penalty for a node in another data centre, in requests that this node has sent
	 * through it: the way there and back takes a few milliseconds more.
	 */
	private static final double REMOTE_PENALTY_REQUESTS = 3;

	/**
	 * How long a node is left out that could not be reached or accepted no request; about
	 * the time in which its own report arrives. It doubles with each consecutive failure.
	 */
	private static final Duration BASE_EJECTION_TIME = Duration.ofSeconds(1);

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 2;

	/** How long a node's report is valid: two repetitions may be lost. */
	private static final Duration REPORT_VALIDITY = Duration.ofSeconds(3);

	private final DataCentreName localDataCentre;

	private final HomeRegionRule homeRegionRule;

	private final RandomGenerator random;

	private final Map<String, UnreachableServices> reports = new HashMap<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Ejection> ejections = new HashMap<>();

	private List<NodeRecord> peers = List.of();

	private ProxySelector(DataCentreName localDataCentre, HomeRegionRule homeRegionRule, RandomGenerator random) {
		this.localDataCentre = localDataCentre;
		this.homeRegionRule = homeRegionRule;
		this.random = random;
	}

	static ProxySelector of(DataCentreName localDataCentre, HomeRegionRule homeRegionRule, RandomGenerator random) {
		return new ProxySelector(localDataCentre, homeRegionRule, random);
	}

	void updateNodes(List<NodeRecord> newPeers) {
		this.peers = newPeers;
	}

	void handleMessage(NodeMessage.ServicesUnreachable report, Instant now) {
		if (report.services().isEmpty()) {
			this.reports.remove(report.sender());
		}
		else {
			this.reports.put(report.sender(), new UnreachableServices(report.services(), now));
		}
	}

	/**
	 * Selects a node that accepts requests of others and reaches the service, as far as
	 * known.
	 * @param service the service
	 * @param homes the home regions of the request
	 * @param excluded names of nodes that have not accepted the request
	 * @param now the current time
	 * @return the node; empty if there is none
	 */
	Optional<EntryEffect.ProxyNode> select(ServiceName service, HomeRegions homes, Set<String> excluded, Instant now) {
		return select(service, homes, excluded, this.random, now);
	}

	/**
	 * Selects a node by other random numbers, which leaves later selections as they are.
	 * @param service the service
	 * @param homes the home regions of the request
	 * @param excluded names of nodes that have not accepted the request
	 * @param otherRandom the source of the random numbers
	 * @param now the current time
	 * @return the node; empty if there is none
	 */
	Optional<EntryEffect.ProxyNode> select(ServiceName service, HomeRegions homes, Set<String> excluded,
			RandomGenerator otherRandom, Instant now) {
		NodeRecord best = null;
		double lowestScore = Double.MAX_VALUE;
		for (NodeRecord node : candidates(service, homes, now).toList()) {
			double score = score(node, otherRandom);
			if (!excluded.contains(node.name()) && score < lowestScore) {
				lowestScore = score;
				best = node;
			}
		}
		return Optional.ofNullable(best)
			.map((node) -> new EntryEffect.ProxyNode(node.name(), node.proxyAddress().orElseThrow()));
	}

	/**
	 * Returns whether another node reaches a service, as far as known.
	 * @param service the service
	 * @param now the current time
	 * @return true if one does
	 */
	boolean isReachedElsewhere(ServiceName service, Instant now) {
		return isReachedElsewhere(service, HomeRegions.ALL, now);
	}

	/**
	 * Returns whether another node through which a request may be sent reaches a service,
	 * as far as known.
	 * @param service the service
	 * @param homes the home regions of the request
	 * @param now the current time
	 * @return true if one does
	 */
	boolean isReachedElsewhere(ServiceName service, HomeRegions homes, Instant now) {
		return candidates(service, homes, now).findAny().isPresent();
	}

	private Stream<NodeRecord> candidates(ServiceName service, HomeRegions homes, Instant now) {
		return this.peers.stream()
			.filter((node) -> this.homeRegionRule.allowsNode(homes, node.dataCentre()))
			.filter((node) -> node.proxyAddress().isPresent())
			.filter((node) -> !isEjected(node.name(), now))
			.filter((node) -> !hasReported(node.name(), service, now));
	}

	private boolean isEjected(String node, Instant now) {
		Ejection ejection = this.ejections.get(node);
		return ejection != null && now.isBefore(ejection.until());
	}

	private boolean hasReported(String node, ServiceName service, Instant now) {
		UnreachableServices report = this.reports.get(node);
		return report != null && now.isBefore(report.receivedAt().plus(REPORT_VALIDITY))
				&& report.services().contains(service);
	}

	// The random part keeps nodes from all choosing the same one.
	private double score(NodeRecord node, RandomGenerator otherRandom) {
		double penalty = node.dataCentre().equals(this.localDataCentre) ? 0 : REMOTE_PENALTY_REQUESTS;
		return this.inFlight.getOrDefault(node.name(), 0) + penalty + otherRandom.nextDouble();
	}

	void recordSent(String node) {
		this.inFlight.merge(node, 1, Integer::sum);
	}

	void recordEnded(String node) {
		this.inFlight.computeIfPresent(node, (name, requests) -> (requests > 1) ? requests - 1 : null);
	}

	void recordDelivered(String node) {
		this.ejections.remove(node);
	}

	/**
	 * Leaves a node out for a while. Requests that fail together count once.
	 * @param node the node
	 * @param now the current time
	 */
	void eject(String node, Instant now) {
		if (isEjected(node, now)) {
			return;
		}
		int doublings = Optional.ofNullable(this.ejections.get(node))
			.map((last) -> Math.min(last.doublings() + 1, MAXIMUM_EJECTION_DOUBLINGS))
			.orElse(0);
		this.ejections.put(node, new Ejection(now.plus(BASE_EJECTION_TIME.multipliedBy(1L << doublings)), doublings));
	}

	/**
	 * A node that is left out.
	 *
	 * @param until when it is tried again
	 * @param doublings how often its time has doubled
	 */
	private record Ejection(Instant until, int doublings) {
	}

	/**
	 * The services that a node has reported as unreachable.
	 *
	 * @param services the services
	 * @param receivedAt when the report was received
	 */
	private record UnreachableServices(Set<ServiceName> services, Instant receivedAt) {
	}

}
