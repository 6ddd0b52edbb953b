package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Tracks the undecided targets that this node itself has lost. A target has crashed if
 * this node's path to its service works and the target stays away.
 */
final class OwnLosses {

	/** Time in which a broken path is noticed. */
	private static final Duration CONFIRMATION_TIME = Duration.ofMillis(200);

	/** Maximum time for which a loss waits while the path is in doubt. */
	private static final Duration MAXIMUM_CONFIRMATION_TIME = Duration.ofSeconds(1);

	/** Maximum number of lost targets that are connected at once to decide about them. */
	private static final int MAXIMUM_PROBES = 3;

	private final TargetDirectory directory;

	private final PathState paths;

	private final CrashEvidence evidence;

	private final RandomGenerator random;

	private final Map<TargetIncarnation, OwnLoss> losses = new HashMap<>();

	private OwnLosses(TargetDirectory directory, PathState paths, CrashEvidence evidence, RandomGenerator random) {
		this.directory = directory;
		this.paths = paths;
		this.evidence = evidence;
		this.random = random;
	}

	static OwnLosses of(TargetDirectory directory, PathState paths, CrashEvidence evidence, RandomGenerator random) {
		return new OwnLosses(directory, paths, evidence, random);
	}

	/**
	 * Adds a target whose connection this node has lost, and connects it.
	 * @param target the target
	 * @param service the target's service
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void add(TargetIncarnation target, ServiceName service, Instant now, Effects effects) {
		OwnLoss known = this.losses.put(target, new OwnLoss(service, now, Instant.MIN, Instant.MIN));
		probe(Optional.of(TargetAddress.of(target)).filter((address) -> known == null), effects);
	}

	// Where many targets are lost at once the path is, most likely.
	private void probe(Optional<TargetAddress> target, Effects effects) {
		if (this.losses.size() <= MAXIMUM_PROBES) {
			target.ifPresent((address) -> effects.add(new EntryEffect.ProbeTargets(List.of(address))));
		}
	}

	/**
	 * Records that a target could not be connected. If it was lost before, another target
	 * of the service is connected: if that succeeds it is not the path that is broken.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordRefused(TargetName target, Instant now, Effects effects) {
		this.losses.replaceAll((lost, loss) -> {
			if (!lost.name().equals(target)) {
				return loss;
			}
			if (!loss.refusedAt().isAfter(loss.since())) {
				probe(drawOther(loss.service()), effects);
			}
			return loss.refused(now);
		});
	}

	private Optional<TargetAddress> drawOther(ServiceName service) {
		List<TargetIncarnation> others = this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service) && !entry.leaving())
			.map(TargetIncarnation::of)
			.filter((other) -> this.evidence.find(other).isEmpty())
			.toList();
		return others.isEmpty() ? Optional.empty()
				: Optional.of(TargetAddress.of(others.get(this.random.nextInt(others.size()))));
	}

	/**
	 * Records that a target accepted a connection. One that was lost just before is
	 * alive: a new process takes longer to start. Only its connections were reset.
	 * @param target the target
	 * @param now the current time
	 */
	void recordConnected(TargetName target, Instant now) {
		this.losses.replaceAll((lost, loss) -> lost.name().equals(target) ? loss.connected(now) : loss);
	}

	/**
	 * Finds the targets that have crashed, as this node's path to them works.
	 * @param signsOfLife the answers of targets that had been lost
	 * @param now the current time
	 * @return the targets
	 */
	List<TargetIncarnation> findCrashed(SignsOfLife signsOfLife, Instant now) {
		return this.losses.entrySet()
			.stream()
			.filter((own) -> this.evidence.isUndecided(own.getKey())
					&& !signsOfLife.hasAnsweredAfter(own.getKey(), own.getValue().since()))
			.filter((own) -> isPathProved(own.getValue(), now))
			.map(Map.Entry::getKey)
			.toList();
	}

	// A path that was lost meanwhile explains the loss, unless the target still can't be
	// connected since the path is back.
	private boolean isPathProved(OwnLoss loss, Instant now) {
		Optional<Instant> reachableSince = this.paths.reachableSince(loss.service());
		if (reachableSince.isEmpty()) {
			return false;
		}
		if (loss.refusedAt().isAfter(loss.since())
				&& this.paths.connectedAt(loss.service()).isAfter(loss.refusedAt())) {
			return true;
		}
		if (loss.connectedAt().isAfter(loss.since()) && !loss.refusedAt().isAfter(loss.connectedAt())) {
			return false;
		}
		boolean pathWasLost = reachableSince.get().isAfter(loss.since());
		if (pathWasLost && !loss.refusedAt().isAfter(reachableSince.get())) {
			return false;
		}
		Duration waited = Duration.between(pathWasLost ? reachableSince.get() : loss.since(), now);
		return waited.compareTo(MAXIMUM_CONFIRMATION_TIME) >= 0
				|| (waited.compareTo(CONFIRMATION_TIME) >= 0 && !this.paths.isInDoubt(loss.service(), now));
	}

	/**
	 * Connects targets that were lost with the path, once that is back.
	 * @param effects receives the resulting effects
	 */
	void probeLost(Effects effects) {
		List<TargetAddress> lost = this.losses.entrySet()
			.stream()
			.filter((own) -> this.evidence.isUndecided(own.getKey()))
			.filter((own) -> this.paths.reachableSince(own.getValue().service())
				.filter((since) -> since.isAfter(own.getValue().since()) && !own.getValue().refusedAt().isAfter(since))
				.isPresent())
			.limit(MAXIMUM_PROBES)
			.map((own) -> TargetAddress.of(own.getKey()))
			.toList();
		if (!lost.isEmpty()) {
			effects.add(new EntryEffect.ProbeTargets(lost));
		}
	}

	/**
	 * Removes targets.
	 * @param decided tells whether a target is to be removed
	 * @return the targets that were
	 */
	Set<TargetIncarnation> removeIf(Predicate<TargetIncarnation> decided) {
		Set<TargetIncarnation> removed = this.losses.keySet().stream().filter(decided).collect(Collectors.toSet());
		this.losses.keySet().removeAll(removed);
		return removed;
	}

	Set<TargetIncarnation> targets() {
		return Set.copyOf(this.losses.keySet());
	}

	/**
	 * A target that this node has lost.
	 *
	 * @param service the target's service
	 * @param since when it was lost
	 * @param refusedAt when it could last not be connected
	 * @param connectedAt when it last accepted a connection
	 */
	private record OwnLoss(ServiceName service, Instant since, Instant refusedAt, Instant connectedAt) {

		OwnLoss refused(Instant at) {
			return new OwnLoss(this.service, this.since, at, this.connectedAt);
		}

		OwnLoss connected(Instant at) {
			return new OwnLoss(this.service, this.since, this.refusedAt, at);
		}

	}

}
