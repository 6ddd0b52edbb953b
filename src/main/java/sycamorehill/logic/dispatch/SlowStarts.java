package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Gives few requests at first to targets that have just opened, or that come back after
 * an ejection, a rest or a warm-up.
 *
 * This is a preference among targets. It yields while half of the targets are in slow
 * start, because the others can't carry the requests of all.
 */
final class SlowStarts implements CandidateFilter {

	/** Share of a route's latency target within which an answer is always on time. */
	private static final double SURELY_ON_TIME_SHARE = 0.5;

	/** Ratio of the time to the first event to the expected one that is on time. */
	private static final double ON_TIME_RATIO = 1.5;

	/**
	 * Number of targets for which this node's place is determined in one tick, because
	 * each takes a hash per node.
	 */
	private static final int PLACES_PER_TICK = 32;

	private static final String HASH_KEY_PREFIX = "slow-start/";

	private final NodeRecord self;

	private final TargetStatusRegistry statuses;

	private final Set<TargetGroup> knownGroups = new HashSet<>();

	private final Map<TargetName, SeenTarget> seen = new HashMap<>();

	private final Map<TargetName, ActiveSlowStart> active = new HashMap<>();

	/** The cold targets, whose requests are divided among few nodes already. */
	private Predicate<TargetName> cold = (target) -> false;

	private List<NodeRecord> peers = List.of();

	private long peersVersion;

	private SlowStarts(NodeRecord self, TargetStatusRegistry statuses) {
		this.self = self;
		this.statuses = statuses;
	}

	static SlowStarts of(NodeRecord self, TargetStatusRegistry statuses) {
		return new SlowStarts(self, statuses);
	}

	/**
	 * Sets which targets are cold. The nodes that send to them are determined by the
	 * bound on their requests, and may be others than in slow start.
	 * @param coldTargets tells whether a target is cold
	 */
	void setColdTargets(Predicate<TargetName> coldTargets) {
		this.cold = coldTargets;
	}

	/**
	 * Sets the nodes among which the requests of a target are divided.
	 * @param newPeers the other nodes that send requests
	 */
	void updateNodes(List<NodeRecord> newPeers) {
		if (!newPeers.equals(this.peers)) {
			this.peers = newPeers;
			this.peersVersion++;
		}
	}

	/**
	 * Begins the slow start of a target that has warmed up, from the load that it
	 * carries. A slow start that began earlier goes on.
	 * @param target the target
	 * @param now the current time
	 */
	void handleWarm(TargetName target, Instant now) {
		this.seen.computeIfPresent(target, (name, known) -> {
			int carried = this.statuses.requests(name, now);
			this.active.computeIfAbsent(name,
					(key) -> new ActiveSlowStart(SlowStart.begin(known.slots(), carried, now)));
			return known;
		});
	}

	// Begins the slow start of targets that have opened or come back since the last
	// request for them.
	@Override
	public void observe(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (request.serviceParameters().warmUp().isEmpty()) {
			return;
		}
		boolean firstLook = this.knownGroups.add(new TargetGroup(request.service(), request.request().model()));
		candidates.forEach((candidate) -> observe(candidate, firstLook, now));
	}

	@Override
	public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (this.active.isEmpty() || request.serviceParameters().warmUp().isEmpty()) {
			return candidates;
		}
		int usable = 0;
		int limited = 0;
		for (Candidate candidate : candidates) {
			if (isUsable(candidate.entry().name(), request, now)) {
				usable++;
				limited += this.active.containsKey(candidate.entry().name()) ? 1 : 0;
			}
		}
		return (2 * limited >= usable) ? candidates
				: candidates.stream().filter((candidate) -> allowsRequest(candidate.entry().name(), now)).toList();
	}

	private void observe(Candidate candidate, boolean firstLook, Instant now) {
		TargetName name = candidate.entry().name();
		TargetStatus status = this.statuses.byTarget().get(name);
		Instant awayUntil = (status != null) ? status.awayUntil() : Instant.MIN;
		SeenTarget known = this.seen.get(name);
		boolean opened = (known != null) ? !known.isSameRun(candidate) : !firstLook;
		boolean returned = known != null && awayUntil.isAfter(known.awayUntil()) && !now.isBefore(awayUntil);
		if (opened || returned) {
			this.active.put(name, new ActiveSlowStart(SlowStart.begin(candidate.slots(), 0, now)));
			Optional.ofNullable(status).ifPresent(TargetStatus::clearFailureRate);
		}
		if (known == null || opened || returned) {
			this.seen.put(name, SeenTarget.of(candidate, now.isBefore(awayUntil) ? Instant.MIN : awayUntil));
		}
		ActiveSlowStart limited = this.active.get(name);
		if (limited != null) {
			limited.slowStart.step(this.statuses.requests(name, now), now);
		}
	}

	@Override
	public String reason() {
		return "it is in slow start and has its part of the requests";
	}

	@Override
	public Optional<String> describeLimit(Candidate candidate, Instant now) {
		return level(candidate.entry().name())
			.map((level) -> String.format(Locale.ROOT, "slow start up to %.1f requests of all nodes", level));
	}

	private boolean isUsable(TargetName name, DispatchedRequest request, Instant now) {
		TargetStatus status = this.statuses.byTarget().get(name);
		return !request.triedTargets().contains(name) && request.target().filter(name::equals).isEmpty()
				&& (status == null || status.acceptsRequests(now));
	}

	private boolean allowsRequest(TargetName name, Instant now) {
		ActiveSlowStart limited = this.active.get(name);
		if (limited == null || limited.slowStart.isOver(now)) {
			return true;
		}
		TargetStatus status = this.statuses.byTarget().get(name);
		int inFlight = (status != null) ? status.inFlight() : 0;
		boolean withinPart = this.cold.test(name) || (limited.place.isPresent()
				&& inFlight < limited.slowStart.part(this.peers.size() + 1, limited.place.get()));
		return withinPart && this.statuses.requests(name, now) < limited.slowStart.level();
	}

	/**
	 * Returns whether a target is in slow start.
	 * @param target the target
	 * @return true if its requests may be limited
	 */
	boolean isActive(TargetName target) {
		return this.active.containsKey(target);
	}

	/**
	 * Records the time to the first event of an answer, or to the answer if it has none.
	 * @param request the answered request
	 * @param target its target
	 * @param time the time since the attempt was started
	 * @param now the current time
	 */
	void recordFirstAnswer(DispatchedRequest request, TargetName target, Duration time, Instant now) {
		ActiveSlowStart limited = this.active.get(target);
		if (limited == null) {
			return;
		}
		Duration latencyTarget = request.route().latencyTarget();
		double millis = time.toNanos() / 1e6;
		double onTimeMillis = Math.max(ON_TIME_RATIO * request.expectedFirstAnswer().toMillis(),
				SURELY_ON_TIME_SHARE * latencyTarget.toMillis());
		if (time.compareTo(latencyTarget) > 0) {
			limited.slowStart.recordOverload(now);
		}
		else if (millis <= onTimeMillis) {
			limited.slowStart.recordOnTime();
		}
	}

	void recordRefusal(TargetName target, Instant now) {
		Optional.ofNullable(this.active.get(target)).ifPresent((limited) -> limited.slowStart.recordOverload(now));
	}

	void recordReport(TargetName target, EngineLoad load, Instant now) {
		Optional.ofNullable(this.active.get(target)).ifPresent((limited) -> limited.slowStart.recordReport(load, now));
	}

	/**
	 * Determines this node's places among the nodes that send to targets in slow start,
	 * and ends those that are over.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		int places = 0;
		Iterator<Map.Entry<TargetName, ActiveSlowStart>> limited = this.active.entrySet().iterator();
		while (limited.hasNext()) {
			Map.Entry<TargetName, ActiveSlowStart> next = limited.next();
			ActiveSlowStart state = next.getValue();
			state.slowStart.step(this.statuses.requests(next.getKey(), now), now);
			if (state.slowStart.isOver(now)) {
				limited.remove();
				effects.log(LogEvent.TARGET_WARM, String.format(Locale.ROOT,
						"target=%s cause=slow-start-over level=%.1f", next.getKey(), state.slowStart.level()));
			}
			else if (state.placeVersion != this.peersVersion && places < PLACES_PER_TICK) {
				places++;
				state.placeVersion = this.peersVersion;
				state.place = Optional.of(place(next.getKey()));
			}
		}
	}

	// Nodes in the target's data centre come first, because they prefer it.
	private int place(TargetName target) {
		String duty = HASH_KEY_PREFIX + target;
		DataCentreName dataCentre = this.seen.get(target).dataCentre();
		boolean local = this.self.dataCentre().equals(dataCentre);
		long ownWeight = RendezvousHash.weight(duty, NodeName.of(this.self.name()));
		return (int) this.peers.stream().filter((peer) -> {
			boolean peerIsLocal = peer.dataCentre().equals(dataCentre);
			return (peerIsLocal == local) ? RendezvousHash.weight(duty, NodeName.of(peer.name())) < ownWeight
					: peerIsLocal;
		}).count();
	}

	int count() {
		return this.active.size();
	}

	/**
	 * Returns how many requests all nodes together should have with a target.
	 * @param target the target
	 * @return the number of requests; empty if the target is not in slow start
	 */
	Optional<Double> level(TargetName target) {
		return Optional.ofNullable(this.active.get(target)).map((limited) -> limited.slowStart.level());
	}

	void forget(TargetName target) {
		this.seen.remove(target);
		this.active.remove(target);
	}

	/**
	 * The targets that are candidates for the same requests.
	 *
	 * @param service their service
	 * @param model their model
	 */
	private record TargetGroup(ServiceName service, Optional<String> model) {
	}

	/**
	 * A target that has been a candidate.
	 *
	 * @param incarnation its process
	 * @param group the group for which it received requests
	 * @param dataCentre its data centre
	 * @param slots requests that it runs concurrently
	 * @param awayUntil until when it last received no requests of this node
	 */
	private record SeenTarget(TargetIncarnation incarnation, Optional<GroupKey> group, DataCentreName dataCentre,
			int slots, Instant awayUntil) {

		static SeenTarget of(Candidate candidate, Instant awayUntil) {
			return new SeenTarget(TargetIncarnation.of(candidate.entry()),
					candidate.entry().membership().map(GroupKey::of), candidate.entry().dataCentre(), candidate.slots(),
					awayUntil);
		}

		boolean isSameRun(Candidate candidate) {
			return this.incarnation.startMillis() == candidate.entry().startMillis()
					&& this.incarnation.address().equals(candidate.entry().address())
					&& this.group.equals(candidate.entry().membership().map(GroupKey::of));
		}

	}

	/**
	 * A slow start with this node's place among the nodes.
	 */
	private static final class ActiveSlowStart {

		private final SlowStart slowStart;

		private Optional<Integer> place = Optional.empty();

		private long placeVersion = -1;

		private ActiveSlowStart(SlowStart slowStart) {
			this.slowStart = slowStart;
		}

	}

}
