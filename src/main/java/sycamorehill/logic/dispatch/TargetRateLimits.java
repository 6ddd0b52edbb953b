package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetEntry;

/**
 * Applies the rate limits that targets set for all nodes together.
 *
 * If each node applied a limit by itself, the total would be a multiple of the limit, by
 * the number of nodes. Instead a few nodes share the target, each with an equal part, and
 * the others send it nothing. Nodes in the target's own data centre come first. All nodes
 * that know the same nodes select the same ones.
 */
final class TargetRateLimits implements CandidateFilter {

	/** Time between two broadcasts of the same limit, for nodes that missed a message. */
	private static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(3);

	/**
	 * Number of times that a lifted limit is broadcast: with one message in ten lost, no
	 * node misses all of them.
	 */
	private static final int LIFT_BROADCASTS = 4;

	/**
	 * How long a limit is valid without a new report. A target that receives no requests
	 * reports nothing, and may still need its limit.
	 */
	private static final Duration LIMIT_VALIDITY = Duration.ofMinutes(2);

	/**
	 * Minimum time from the last report of a limit until an answer without one lifts it.
	 * Answers on several connections overtake each other by less.
	 */
	private static final Duration MINIMUM_LIFT_DELAY = Duration.ofSeconds(1);

	private static final String HASH_KEY_PREFIX = "limit/";

	private final NodeRecord self;

	private final TargetDirectory directory;

	private final Map<TargetName, TargetRateLimit> limits = new HashMap<>();

	private final Map<TargetName, LiftedLimit> liftedLimits = new HashMap<>();

	private List<NodeRecord> peers = List.of();

	private TargetRateLimits(NodeRecord self, TargetDirectory directory) {
		this.self = self;
		this.directory = directory;
	}

	static TargetRateLimits of(NodeRecord self, TargetDirectory directory) {
		return new TargetRateLimits(self, directory);
	}

	/**
	 * Divides all limits among the current nodes, drops the expired ones, and broadcasts
	 * lifted ones again.
	 * @param newPeers the other nodes that send requests
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void updateNodes(List<NodeRecord> newPeers, Instant now, Effects effects) {
		this.peers = newPeers;
		this.limits.values().removeIf((limit) -> now.isAfter(limit.reportedAt().plus(LIMIT_VALIDITY)));
		this.limits.forEach((target, limit) -> assignShare(target, limit, now));
		this.liftedLimits.replaceAll((target, lifted) -> broadcastLiftAgain(target, lifted, now, effects));
		this.liftedLimits.values().removeIf((lifted) -> lifted.broadcastsLeft() == 0);
	}

	private LiftedLimit broadcastLiftAgain(TargetName target, LiftedLimit lifted, Instant now, Effects effects) {
		if (now.isBefore(lifted.nextBroadcastAt())) {
			return lifted;
		}
		broadcast(target, Optional.empty(), effects);
		return new LiftedLimit(lifted.broadcastsLeft() - 1, now.plus(BROADCAST_INTERVAL));
	}

	/**
	 * Handles the limit that a target reports with an answer.
	 * @param target the target
	 * @param limit the limit for all nodes together; empty if the target sets none
	 * @param sentAt when the answered request was sent
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleTargetReport(TargetName target, Optional<RequestRate> limit, Instant sentAt, Instant now,
			Effects effects) {
		TargetRateLimit known = this.limits.get(target);
		if (limit.isPresent()) {
			boolean changed = known == null || !known.rate().equals(limit.get());
			TargetRateLimit applied = applyLimit(target, limit.get(), this.self.name(), now, effects);
			if (changed || now.isAfter(applied.broadcastAt().plus(BROADCAST_INTERVAL))) {
				applied.recordBroadcast(now);
				broadcast(target, limit, effects);
			}
		}
		else if (known != null && !sentAt.isBefore(known.firstReportedAt())
				&& now.isAfter(known.reportedAt().plus(MINIMUM_LIFT_DELAY))) {
			lift(target, this.self.name(), effects);
			broadcast(target, limit, effects);
			this.liftedLimits.put(target, new LiftedLimit(LIFT_BROADCASTS - 1, now.plus(BROADCAST_INTERVAL)));
		}
	}

	/**
	 * Handles a limit that a target reported to another node.
	 * @param message the other node's message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleMessage(NodeMessage.TargetLimited message, Instant now, Effects effects) {
		if (message.limit().isPresent()) {
			applyLimit(message.target(), message.limit().get(), message.sender(), now, effects).recordBroadcast(now);
		}
		else if (this.limits.containsKey(message.target())) {
			lift(message.target(), message.sender(), effects);
		}
	}

	private TargetRateLimit applyLimit(TargetName target, RequestRate rate, String reporter, Instant now,
			Effects effects) {
		this.liftedLimits.remove(target);
		TargetRateLimit known = this.limits.get(target);
		if (known != null && known.rate().equals(rate)) {
			known.recordReport(rate, now);
			return known;
		}
		TargetRateLimit limit = this.limits.computeIfAbsent(target, (name) -> TargetRateLimit.of(rate, now));
		limit.recordReport(rate, now);
		assignShare(target, limit, now);
		effects.log(LogEvent.TARGET_LIMITED, "target=" + target + " per-second=" + rate.perSecond() + " sharing="
				+ limit.sharingNodes() + " shares=" + limit.hasShare() + " told-by=" + reporter);
		return limit;
	}

	private void lift(TargetName target, String reporter, Effects effects) {
		this.limits.remove(target);
		effects.log(LogEvent.TARGET_LIMITED, "target=" + target + " lifted told-by=" + reporter);
	}

	private void broadcast(TargetName target, Optional<RequestRate> limit, Effects effects) {
		effects.add(new EntryEffect.Broadcast(new NodeMessage.TargetLimited(this.self.name(), target, limit)));
	}

	private void assignShare(TargetName target, TargetRateLimit limit, Instant now) {
		Optional<DataCentreName> dataCentre = this.directory.find(target).map(TargetEntry::dataCentre);
		List<String> sharingNodes = Stream.concat(Stream.of(this.self), this.peers.stream())
			.sorted(Comparator.comparing((NodeRecord node) -> dataCentre.filter(node.dataCentre()::equals).isEmpty())
				.thenComparingLong((node) -> RendezvousHash.weight(HASH_KEY_PREFIX + target, NodeName.of(node.name()))))
			.limit(limit.sharingNodes())
			.map(NodeRecord::name)
			.toList();
		limit.assignShare(sharingNodes.size(), sharingNodes.contains(this.self.name()), now);
	}

	@Override
	public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (this.limits.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> allowsRequest(candidate.entry().name(), now)).toList();
	}

	@Override
	public String reason() {
		return "the rate limit of the target";
	}

	@Override
	public Optional<String> describeLimit(Candidate candidate, Instant now) {
		return Optional.ofNullable(this.limits.get(candidate.entry().name()))
			.map((limit) -> "rate limit of " + limit.rate().perSecond() + " requests/s, of which "
					+ limit.localRequestsPerSecond() + " for this node");
	}

	private boolean allowsRequest(TargetName target, Instant now) {
		TargetRateLimit limit = this.limits.get(target);
		return limit == null || limit.allowsRequest(now);
	}

	@Override
	public void recordSent(TargetName target, Instant now) {
		Optional.ofNullable(this.limits.get(target)).ifPresent((limit) -> limit.recordSent(now));
	}

	void forget(TargetName target) {
		this.limits.remove(target);
		this.liftedLimits.remove(target);
	}

	/**
	 * A limit that was lifted.
	 *
	 * @param broadcastsLeft how many times it is still broadcast
	 * @param nextBroadcastAt when it is broadcast next
	 */
	private record LiftedLimit(int broadcastsLeft, Instant nextBroadcastAt) {
	}

}
