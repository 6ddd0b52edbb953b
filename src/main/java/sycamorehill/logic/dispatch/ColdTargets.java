package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import sycamorehill.logic.Effects;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;
import sycamorehill.model.serving.WarmUp;

/**
 * Limits the requests that cold targets receive in any one second from all nodes
 * together.
 *
 * The allowed rate of a cold target is divided among a few nodes: the first by rendezvous
 * hash of those that are counted. Nodes may count different others. Of any two nodes that
 * use their shares, each counts the other, so the place of a node among those that it
 * counts is never before its place among those that send: no more nodes send than share
 * the target, and none has more than an equal part.
 */
final class ColdTargets implements CandidateFilter {

	/**
	 * How long an ended process is remembered, whose entry may have expired while it
	 * could not reach the store.
	 */
	private static final Duration ENDED_RETENTION_TIME = Duration.ofMinutes(10);

	/**
	 * Number of targets whose sharing nodes are determined in one tick, because each
	 * takes a hash per node. Until then this node sends them nothing.
	 */
	private static final int ASSIGNMENTS_PER_TICK = 32;

	private static final String HASH_KEY_PREFIX = "cold/";

	private final String self;

	private final BiConsumer<TargetName, Instant> warmListener;

	private final Map<TargetName, TargetProcess> processes = new HashMap<>();

	private final Map<DataCentreName, Instant> returnedAt = new HashMap<>();

	private final Map<TargetName, ColdTarget> coldTargets = new HashMap<>();

	private Optional<ColdTargetTolerance> tolerance;

	private Map<ServiceName, WarmUp> warmUps = Map.of();

	private CountedNodes nodes = CountedNodes.UNKNOWN;

	private long assignmentVersion;

	private boolean listed;

	private boolean parametersChanged;

	private ColdTargets(EntrySettings settings, BiConsumer<TargetName, Instant> warmListener) {
		this.self = settings.nodeName();
		this.tolerance = settings.coldTargetTolerance();
		this.warmListener = warmListener;
	}

	/**
	 * Creates a filter without known targets.
	 * @param settings the node's settings
	 * @param warmListener is notified of targets that are warm again
	 * @return the filter
	 */
	static ColdTargets of(EntrySettings settings, BiConsumer<TargetName, Instant> warmListener) {
		return new ColdTargets(settings, warmListener);
	}

	/**
	 * Applies changed settings.
	 * @param settings the settings
	 */
	void updateSettings(EntrySettings settings) {
		this.tolerance = settings.coldTargetTolerance();
		this.parametersChanged = true;
		this.assignmentVersion++;
	}

	/**
	 * Applies a configuration, which tells the services whose targets may be cold.
	 * @param configuration the configuration
	 */
	void adopt(Configuration configuration) {
		Map<ServiceName, WarmUp> adopted = new HashMap<>();
		configuration.services()
			.values()
			.forEach((service) -> service.warmUp().ifPresent((warmUp) -> adopted.put(service.name(), warmUp)));
		if (!adopted.equals(this.warmUps)) {
			this.warmUps = Map.copyOf(adopted);
			this.parametersChanged = true;
			this.assignmentVersion++;
		}
	}

	/**
	 * Divides the requests of cold targets among other nodes.
	 * @param newNodes the nodes
	 */
	void updateNodes(CountedNodes newNodes) {
		if (!newNodes.equals(this.nodes)) {
			this.nodes = newNodes;
			this.assignmentVersion++;
		}
	}

	/**
	 * Handles a list of all targets. Processes in the first one may have run for long.
	 * @param entries the targets
	 * @param now the current time
	 */
	void handleList(Collection<TargetEntry> entries, Instant now) {
		entries.forEach((entry) -> handleEntry(entry, now));
		this.listed = true;
	}

	/**
	 * Handles an entry that the store has returned.
	 * @param entry the entry
	 * @param now the current time
	 */
	void handleEntry(TargetEntry entry, Instant now) {
		TargetIncarnation incarnation = TargetIncarnation.of(entry);
		TargetProcess known = this.processes.get(entry.name());
		boolean isNew = known == null || !known.incarnation().equals(incarnation);
		Optional<Instant> newSince = isNew ? Optional.of(now).filter((at) -> this.listed) : known.newSince();
		Instant reportedUntil = entry.warmUpLeft().isZero() ? Instant.MIN : now.plus(entry.warmUpLeft());
		TargetProcess process = new TargetProcess(incarnation, entry.service(), entry.dataCentre(), newSince,
				reportedUntil, Optional.empty());
		this.processes.put(entry.name(), process);
		if (isNew) {
			this.coldTargets.remove(entry.name());
		}
		evaluate(process, now);
	}

	/**
	 * Handles the end of a target's process.
	 * @param entry the last entry of the process
	 * @param now the current time
	 */
	void handleTargetEnded(TargetEntry entry, Instant now) {
		this.processes.computeIfPresent(entry.name(),
				(name, known) -> known.incarnation().equals(TargetIncarnation.of(entry)) ? known.endedAt(now) : known);
		this.processes.values().removeIf((process) -> process.isEndedBefore(now.minus(ENDED_RETENTION_TIME)));
	}

	/**
	 * Handles the end of evacuations. The targets there may have turned cold.
	 * @param dataCentres the data centres, to which requests may be sent again
	 * @param now the current time
	 */
	void handleReturn(Set<DataCentreName> dataCentres, Instant now) {
		dataCentres.forEach((dataCentre) -> this.returnedAt.put(dataCentre, now));
		this.processes.values()
			.stream()
			.filter((process) -> dataCentres.contains(process.dataCentre()))
			.forEach((process) -> evaluate(process, now));
	}

	private void evaluate(TargetProcess process, Instant now) {
		TargetName name = process.incarnation().name();
		WarmUp warmUp = this.tolerance.isPresent() ? this.warmUps.get(process.service()) : null;
		if (warmUp == null || process.ended().isPresent()) {
			this.coldTargets.remove(name);
			return;
		}
		Coldness coldness = coldness(process, warmUp);
		ColdTarget known = this.coldTargets.get(name);
		if (known != null) {
			known.until = coldness.until();
		}
		else if (coldness.until().isAfter(now)) {
			ColdTargetBucket bucket = (coldness.source() == Source.NEW_PROCESS) ? ColdTargetBucket.full(now)
					: ColdTargetBucket.empty(now);
			this.coldTargets.put(name, new ColdTarget(process.service(), coldness, bucket));
		}
	}

	private Coldness coldness(TargetProcess process, WarmUp warmUp) {
		Coldness coldness = new Coldness(process.reportedUntil(), Source.ENTRY);
		Instant returned = this.returnedAt.get(process.dataCentre());
		if (returned != null) {
			coldness = coldness.orLater(returned.plus(warmUp.time()), Source.EVACUATION_END);
		}
		return process.newSince().isPresent()
				? coldness.orLater(process.newSince().get().plus(warmUp.time()), Source.NEW_PROCESS) : coldness;
	}

	/**
	 * Determines the nodes that share cold targets, and forgets the targets that are warm
	 * again.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		if (this.parametersChanged) {
			this.parametersChanged = false;
			this.processes.values().forEach((process) -> evaluate(process, now));
		}
		int assignments = 0;
		Iterator<Map.Entry<TargetName, ColdTarget>> cold = this.coldTargets.entrySet().iterator();
		while (cold.hasNext()) {
			Map.Entry<TargetName, ColdTarget> next = cold.next();
			if (!next.getValue().until.isAfter(now)) {
				cold.remove();
				effects.log(LogEvent.TARGET_WARM, "target=" + next.getKey() + " cause=warm-up-over");
				this.warmListener.accept(next.getKey(), now);
			}
			else if (next.getValue().assignedVersion != this.assignmentVersion && assignments < ASSIGNMENTS_PER_TICK) {
				assignments++;
				assign(next.getKey(), next.getValue(), now, effects);
			}
		}
	}

	private void assign(TargetName name, ColdTarget target, Instant now, Effects effects) {
		boolean first = target.assignedVersion < 0;
		target.assignedVersion = this.assignmentVersion;
		target.bucket.assign(share(name, target), now);
		if (first) {
			ColdTargetBudget.Share share = target.bucket.share();
			effects.log(LogEvent.TARGET_COLD, String.format(Locale.ROOT,
					"target=%s until=%s share-per-second=%.2f burst=%.2f nodes=%d told-by=%s", name, target.until,
					share.requestsPerSecond(), share.burst(), this.nodes.names().size(), target.source.text));
		}
	}

	private ColdTargetBudget.Share share(TargetName name, ColdTarget target) {
		if (!this.nodes.counted()) {
			return ColdTargetBudget.Share.NONE;
		}
		ColdTargetBudget budget = ColdTargetBudget.of(this.tolerance.orElseThrow(), this.warmUps.get(target.service));
		String duty = HASH_KEY_PREFIX + name;
		long ownWeight = RendezvousHash.weight(duty, NodeName.of(this.self));
		long before = this.nodes.names()
			.stream()
			.filter((node) -> RendezvousHash.weight(duty, NodeName.of(node)) < ownWeight)
			.count();
		return (before < budget.maximumNodes()) ? budget.share(this.nodes.names().size()) : ColdTargetBudget.Share.NONE;
	}

	@Override
	public void observe(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (!this.coldTargets.isEmpty()) {
			candidates.stream()
				.flatMap((candidate) -> Optional.ofNullable(this.coldTargets.get(candidate.entry().name())).stream())
				.forEach((target) -> target.bucket.refill(now));
		}
	}

	@Override
	public List<Candidate> filter(List<Candidate> candidates, DispatchedRequest request, Instant now) {
		if (this.coldTargets.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> allowsRequest(candidate.entry().name(), now)).toList();
	}

	@Override
	public String reason() {
		return "it is cold, and this node's share of its requests is used up or belongs to other nodes";
	}

	@Override
	public Optional<String> describeLimit(Candidate candidate, Instant now) {
		return Optional.ofNullable(this.coldTargets.get(candidate.entry().name()))
			.map((target) -> String.format(Locale.ROOT, "cold for %d ms, %.2f requests/s of this node",
					Math.max(0, Duration.between(now, target.until).toMillis()),
					target.bucket.share().requestsPerSecond()));
	}

	// A target stays limited until the tick that begins its slow start.
	private boolean allowsRequest(TargetName name, Instant now) {
		ColdTarget target = this.coldTargets.get(name);
		return target == null || (target.assignedVersion == this.assignmentVersion && target.bucket.allowsRequest(now));
	}

	/**
	 * Records that a request is on its way to a target.
	 * @param name the target
	 * @param transit the request
	 * @param now the current time
	 */
	void recordSent(TargetName name, Transit transit, Instant now) {
		ColdTarget target = this.coldTargets.get(name);
		if (target != null) {
			target.bucket.recordSent(transit, now);
		}
	}

	/**
	 * Returns whether a target is cold.
	 * @param name the target
	 * @return true if its requests are limited
	 */
	boolean isCold(TargetName name) {
		return this.coldTargets.containsKey(name);
	}

	int count() {
		return this.coldTargets.size();
	}

	/**
	 * What shows that a target is cold.
	 */
	private enum Source {

		/** Its entry says so. */
		ENTRY("entry"),

		/** This node has just seen its process for the first time. */
		NEW_PROCESS("new-process"),

		/** The evacuation of its data centre has ended. */
		EVACUATION_END("evacuation-end");

		private final String text;

		Source(String text) {
			this.text = text;
		}

	}

	/**
	 * Until when a target is cold.
	 *
	 * @param until the time
	 * @param source what shows it
	 */
	private record Coldness(Instant until, Source source) {

		Coldness orLater(Instant time, Source other) {
			return time.isAfter(this.until) ? new Coldness(time, other) : this;
		}

	}

	/**
	 * A process of a target, as far as it matters for its warm-up.
	 *
	 * @param incarnation the process
	 * @param service its service
	 * @param dataCentre its data centre
	 * @param newSince when this node first saw it; empty if it was in the first list
	 * @param reportedUntil until when it is cold by its last entry
	 * @param ended when it ended
	 */
	private record TargetProcess(TargetIncarnation incarnation, ServiceName service, DataCentreName dataCentre,
			Optional<Instant> newSince, Instant reportedUntil, Optional<Instant> ended) {

		TargetProcess endedAt(Instant now) {
			return new TargetProcess(this.incarnation, this.service, this.dataCentre, this.newSince, this.reportedUntil,
					Optional.of(now));
		}

		boolean isEndedBefore(Instant time) {
			return this.ended.filter((at) -> at.isBefore(time)).isPresent();
		}

	}

	/**
	 * A cold target with this node's share.
	 */
	private static final class ColdTarget {

		private final ServiceName service;

		private final Source source;

		private final ColdTargetBucket bucket;

		private Instant until;

		private long assignedVersion = -1;

		private ColdTarget(ServiceName service, Coldness coldness, ColdTargetBucket bucket) {
			this.service = service;
			this.source = coldness.source();
			this.until = coldness.until();
			this.bucket = bucket;
		}

	}

}
