package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Decides which requests crash the targets that run them, together with all other nodes.
 *
 * A lost connection doesn't show whether the target has crashed or the path to it is
 * broken, and where all targets of a service are lost, neither do the others. A loss is
 * therefore kept until it is decided: the target's process has ended, or it answers
 * again. A path that has proved to work decides sooner.
 */
public final class CrashSuspicions {

	/** Interval at which undecided losses are compared with the directory. */
	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final TargetDirectory directory;

	private final CrashEvidence evidence = CrashEvidence.create();

	private final CrashReports reports;

	private final CrashTrials trials;

	private final SuspectRuns suspectRuns;

	private final OwnLosses ownLosses;

	private final SignsOfLife signsOfLife = SignsOfLife.create();

	private final ReplacedTargets replacedTargets;

	private final CrashCauseLog causeLog = CrashCauseLog.of(this.evidence);

	private Instant checkedAt = Instant.MIN;

	private CrashSuspicions(String nodeName, TargetDirectory directory, PathState paths, RandomGenerator random) {
		this.directory = directory;
		this.reports = CrashReports.of(nodeName, this.evidence);
		this.trials = CrashTrials.of(random);
		this.suspectRuns = SuspectRuns.of(this.evidence, this.reports);
		this.ownLosses = OwnLosses.of(directory, paths, this.evidence, random);
		this.replacedTargets = ReplacedTargets.of(directory, this.evidence);
	}

	/**
	 * Creates the suspicions of a node that knows of no crash.
	 * @param nodeName the node's name
	 * @param directory the known targets
	 * @param paths tells whether this node's paths to the targets work
	 * @param random the source of all random choices
	 * @return the suspicions
	 */
	public static CrashSuspicions of(String nodeName, TargetDirectory directory, PathState paths,
			RandomGenerator random) {
		return new CrashSuspicions(nodeName, directory, paths, random);
	}

	/**
	 * Records that this node has lost a run of a request, and possibly the target.
	 * @param request the request
	 * @param service the target's service
	 * @param target the process of the target to which the request was sent
	 * @param connectionLost whether the connection was lost; a target that only stopped
	 * sending, or sent garbage, counts as crashed once its process has ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void suspect(LostRequest request, ServiceName service, TargetIncarnation target, boolean connectionLost,
			Instant now, Effects effects) {
		request.traits().forEach((trait) -> this.suspectRuns.handleLoss(trait, now));
		this.evidence.add(new TargetLoss(target, now, false, Map.of(request.identifier(), LostRun.of(request, now))));
		if (connectionLost) {
			this.ownLosses.add(target, service, now, effects);
		}
		if (!isKnown(target)) {
			decideCrash(target, "its entry has ended", now, effects);
		}
	}

	private boolean isKnown(TargetIncarnation target) {
		return this.directory.find(target.name()).map(TargetIncarnation::of).filter(target::equals).isPresent();
	}

	/**
	 * Formats how many targets this node knows to have been lost with a property.
	 * @param trait the property
	 * @return the fields of a log line
	 */
	public String describeLosses(RequestTrait trait) {
		List<TargetLoss> lost = this.evidence.findLosses(trait);
		return "lost-before=" + lost.size() + " crashed-before=" + lost.stream().filter(TargetLoss::crashed).count();
	}

	/**
	 * Records that a target ran a request without a crash.
	 * @param traits the request's properties
	 * @param startedAt when the request was sent to the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void recordSound(Set<RequestTrait> traits, Instant startedAt, Instant now, Effects effects) {
		traits.forEach(this.suspectRuns::handleSound);
		Set<RequestTrait> cleared = this.evidence.recordSound(traits, startedAt);
		if (!cleared.isEmpty()) {
			effects.log(LogEvent.SUSPICION_DROPPED,
					"traits=" + RequestTrait.describe(cleared) + " cause='answered by a target'");
			this.reports.addSound(cleared, startedAt, now);
			logCauses(now, effects);
		}
	}

	/**
	 * Records that a target has answered a request.
	 * @param target the target
	 * @param sentAt when the request was sent to it
	 * @param now the current time
	 */
	public void recordAnswer(TargetName target, Instant sentAt, Instant now) {
		if (this.evidence.isEmpty()) {
			return;
		}
		this.directory.find(target)
			.map(TargetIncarnation::of)
			.flatMap(this.evidence::find)
			.filter((loss) -> sentAt.isAfter(loss.lostAt()))
			.ifPresent((loss) -> this.signsOfLife.record(loss.target(), sentAt, now));
	}

	/**
	 * Handles the end of a target's process, as the store shows it.
	 * @param entry the last entry of the process
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleTargetEnded(TargetEntry entry, Instant now, Effects effects) {
		TargetIncarnation target = TargetIncarnation.of(entry);
		this.signsOfLife.remove(target);
		if (this.evidence.isUndecided(target)) {
			decideCrash(target, "its entry has ended", now, effects);
		}
	}

	/**
	 * Handles the loss of a target at another node.
	 * @param message the other node's message
	 * @param now the current time
	 */
	public void handleMessage(NodeMessage.TargetLost message, Instant now) {
		message.requests().forEach((request) -> {
			this.evidence.recordSoundOnce(request.soundTraits());
			request.traits().forEach((trait) -> this.suspectRuns.handleLoss(trait, now.minus(request.age())));
		});
		this.evidence.add(TargetLoss.of(message, now));
	}

	/**
	 * Handles requests that a target ran without a crash at another node.
	 * @param message the other node's message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void handleMessage(NodeMessage.TraitsSound message, Instant now, Effects effects) {
		message.traits().forEach(this.suspectRuns::handleSound);
		Set<RequestTrait> cleared = this.evidence.recordSound(message.traits(), now.minus(message.age()));
		if (!cleared.isEmpty()) {
			effects.log(LogEvent.SUSPICION_DROPPED, "traits=" + RequestTrait.describe(cleared)
					+ " cause='answered by a target' told-by=" + message.sender());
			logCauses(now, effects);
		}
	}

	/**
	 * Returns whether a lost request must not be sent to another target, because several
	 * were lost with what it has in common with others.
	 * @param traits the request's properties
	 * @return true if it may crash the next target too
	 */
	public boolean isRisky(Set<RequestTrait> traits) {
		return this.evidence.isRisky(traits);
	}

	/**
	 * Returns whether anything is suspect, so that sound runs have to be reported early.
	 * @return true if targets were lost with requests
	 */
	public boolean hasSuspicions() {
		return !this.evidence.isEmpty();
	}

	/**
	 * Finds why a request that has just arrived must not be sent to any target.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return the reason; empty if it may be sent
	 */
	public Optional<CrashRefusal> findRefusal(CallerRequest request, Instant now, Effects effects) {
		decide(request.contentTrait(), now, effects);
		Optional<CrashCause> found = this.evidence.findCause(request.traits(), now);
		if (found.isEmpty()) {
			return findUndecided(request.contentTrait()).or(() -> this.suspectRuns.admit(request, now));
		}
		if (this.trials.isDue(found.get(), now)) {
			this.suspectRuns.startTrial(request, now);
			letThrough(found.get(), now, effects);
			return Optional.empty();
		}
		return found.map((cause) -> CrashRefusal.of(cause, cause.describeCrashes(now)));
	}

	// A new process may be known before the next check of what was lost at its address.
	private void decide(RequestTrait content, Instant now, Effects effects) {
		if (this.evidence.hasUndecided(content)) {
			confirmReplaced(now, effects);
			confirmByPath(now, effects);
		}
	}

	/**
	 * Finds why a request must not be sent on that was admitted before, here or at
	 * another node.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return the reason; empty if it may be sent
	 */
	public Optional<CrashRefusal> findLaterRefusal(CallerRequest request, Instant now, Effects effects) {
		if (this.suspectRuns.isTrial(request, now)) {
			return Optional.empty();
		}
		decide(request.contentTrait(), now, effects);
		return this.evidence.findCause(request.traits(), now)
			.map((cause) -> CrashRefusal.of(cause, cause.describeCrashes(now)))
			.or(() -> findUndecided(request.contentTrait()));
	}

	/**
	 * Records that a request of this node's caller is sent to a target, or through
	 * another node.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void recordSent(CallerRequest request, Instant now, Effects effects) {
		this.suspectRuns.recordSent(request, now, effects);
	}

	/**
	 * Records that a request was answered without having run.
	 * @param request the request
	 */
	public void recordNotRun(CallerRequest request) {
		this.suspectRuns.withdraw(request);
	}

	private Optional<CrashRefusal> findUndecided(RequestTrait content) {
		return this.evidence.mayBeCause(content)
				? Optional.of(CrashRefusal.undecided(content, this.evidence.findLosses(content))) : Optional.empty();
	}

	private void letThrough(CrashCause cause, Instant now, Effects effects) {
		this.trials.record(cause.traits(), now);
		this.reports.addTrial(cause.traits(), now);
		effects.log(LogEvent.CRASH_CAUSE_TRIED, "traits=" + cause.name() + " crashes=" + cause.describeCrashes(now));
	}

	/**
	 * Handles a request that another node has let through although it is refused, or runs
	 * to find out whether it crashes targets.
	 * @param message the other node's message
	 * @param now the current time
	 */
	public void handleMessage(NodeMessage.TraitsTried message, Instant now) {
		Instant startedAt = now.minus(message.age());
		message.traits()
			.stream()
			.filter((trait) -> trait.kind() == RequestTrait.Kind.CONTENT)
			.forEach((content) -> this.suspectRuns.handleRunElsewhere(content, startedAt));
		if (this.evidence.isCause(message.traits(), now)) {
			this.trials.record(message.traits(), startedAt);
		}
	}

	/**
	 * Decides the losses that can be decided now, and tells the other nodes.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void tick(Instant now, Effects effects) {
		this.suspectRuns.expire(now);
		if (this.evidence.isEmpty()) {
			return;
		}
		dropAnswering(now, effects);
		confirmByPath(now, effects);
		if (!now.isBefore(this.checkedAt.plus(CHECK_INTERVAL))) {
			this.checkedAt = now;
			confirmReplaced(now, effects);
			this.ownLosses.probeLost(effects);
			this.evidence.expire(now);
		}
		logCauses(now, effects);
		this.ownLosses.removeIf((target) -> !this.evidence.isUndecided(target))
			.forEach((target) -> this.reports.addOwnRuns(target, now));
		this.reports.tick(this.ownLosses.targets(), now, effects);
	}

	private void dropAnswering(Instant now, Effects effects) {
		this.signsOfLife.removeDue(now).forEach((target, sentAt) -> {
			if (isKnown(target)) {
				this.evidence.recordAlive(target, sentAt);
				effects.log(LogEvent.SUSPICION_DROPPED, "target=" + target.name() + " cause='it answers again'");
			}
		});
	}

	private void confirmByPath(Instant now, Effects effects) {
		this.ownLosses.findCrashed(this.signsOfLife, now)
			.forEach((target) -> decideCrash(target, "the path works", now, effects));
	}

	/**
	 * Records that a target could not be connected.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void recordRefused(TargetName target, Instant now, Effects effects) {
		this.ownLosses.recordRefused(target, now, effects);
	}

	/**
	 * Records that a target accepted a connection.
	 * @param target the target
	 * @param now the current time
	 */
	public void recordConnected(TargetName target, Instant now) {
		this.ownLosses.recordConnected(target, now);
	}

	private void confirmReplaced(Instant now, Effects effects) {
		this.replacedTargets.find()
			.forEach((target) -> decideCrash(target, "another process has its address", now, effects));
	}

	private void decideCrash(TargetIncarnation target, String cause, Instant now, Effects effects) {
		this.evidence.recordCrash(target);
		this.evidence.find(target).ifPresent((loss) -> {
			this.reports.addCrash(target, now);
			effects.log(LogEvent.SUSPICION_CONFIRMED, "target=" + target.name() + " cause='" + cause + "' requests="
					+ loss.runs().size() + " lost-millis=" + Duration.between(loss.lostAt(), now).toMillis());
		});
		logCauses(now, effects);
	}

	private void logCauses(Instant now, Effects effects) {
		List<CrashCause> causes = this.evidence.causes(now);
		if (this.causeLog.update(causes, now, effects)) {
			this.trials.retain(causes.stream().map(CrashCause::traits).collect(Collectors.toSet()));
		}
	}

	/**
	 * Returns what a node has to know that has just started, or has missed messages.
	 * @param now the current time
	 * @return the messages
	 */
	public List<NodeMessage.TargetLost> createReports(Instant now) {
		return this.reports.createReports(now);
	}

}
