package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Tells the other nodes which targets were lost with which requests, and what was run
 * without a crash. Messages may be lost, so each is repeated.
 */
final class CrashReports {

	/** How often a message is sent. */
	private static final int BROADCASTS = 3;

	private static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Maximum number of undecided losses of this node that others are told of. Where more
	 * targets are lost at once, it is most likely this node that has lost its path.
	 */
	private static final int MAXIMUM_UNDECIDED_TOLD = 3;

	/** Maximum number of losses of which a node is told at once, the newest ones. */
	private static final int MAXIMUM_LOSSES_TOLD = 50;

	private final String nodeName;

	private final CrashEvidence evidence;

	/** How often crashes have still to be sent. */
	private final Map<TargetIncarnation, Repetition> crashes = new HashMap<>();

	private final Set<TargetIncarnation> toldUndecided = new HashSet<>();

	private final List<RepeatedReport> repeatedReports = new ArrayList<>();

	private CrashReports(String nodeName, CrashEvidence evidence) {
		this.nodeName = nodeName;
		this.evidence = evidence;
	}

	static CrashReports of(String nodeName, CrashEvidence evidence) {
		return new CrashReports(nodeName, evidence);
	}

	/**
	 * Reports that a lost process has ended.
	 * @param target the process
	 * @param now the current time
	 */
	void addCrash(TargetIncarnation target, Instant now) {
		this.crashes.put(target, new Repetition(BROADCASTS, now));
	}

	/**
	 * Reports what this node itself ran on a target that has crashed. Another node may
	 * have told of the crash, which knows only what it ran there itself.
	 * @param target the process
	 * @param now the current time
	 */
	void addOwnRuns(TargetIncarnation target, Instant now) {
		if (this.evidence.find(target).filter(TargetLoss::crashed).isPresent()) {
			this.crashes.putIfAbsent(target, new Repetition(BROADCASTS, now));
		}
	}

	/**
	 * Reports that requests with some properties were run without a crash.
	 * @param traits the properties
	 * @param at when their targets began to run them, at the earliest
	 * @param now the current time
	 */
	void addSound(Set<RequestTrait> traits, Instant at, Instant now) {
		repeat((age) -> new NodeMessage.TraitsSound(this.nodeName, traits, age), at, now);
	}

	/**
	 * Reports that a request with some properties may run although it is refused.
	 * @param traits the properties
	 * @param now the current time
	 */
	void addTrial(Set<RequestTrait> traits, Instant now) {
		repeat((age) -> new NodeMessage.TraitsTried(this.nodeName, traits, age), now, now);
	}

	/**
	 * Tells that a content runs at a target now. It is told once: the run is short.
	 * @param content the content
	 * @param effects receives the resulting effects
	 */
	void tellRun(RequestTrait content, Effects effects) {
		effects
			.add(new EntryEffect.Broadcast(new NodeMessage.TraitsTried(this.nodeName, Set.of(content), Duration.ZERO)));
	}

	private void repeat(Function<Duration, NodeMessage> message, Instant at, Instant now) {
		this.repeatedReports.add(new RepeatedReport(message, at, new Repetition(BROADCASTS, now)));
	}

	/**
	 * Sends what is due.
	 * @param undecided the undecided targets that this node has lost
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Set<TargetIncarnation> undecided, Instant now, Effects effects) {
		sendUndecided(undecided, now, effects);
		this.crashes.replaceAll((target, repetition) -> {
			if (!repetition.isDue(now)) {
				return repetition;
			}
			send(target, now, effects);
			return repetition.next(now);
		});
		this.crashes.values().removeIf(Repetition::isOver);
		this.repeatedReports.replaceAll((report) -> {
			if (!report.repetition().isDue(now)) {
				return report;
			}
			effects.add(new EntryEffect.Broadcast(report.message().apply(Duration.between(report.at(), now))));
			return new RepeatedReport(report.message(), report.at(), report.repetition().next(now));
		});
		this.repeatedReports.removeIf((report) -> report.repetition().isOver());
	}

	// A node that is killed before the loss is decided must not take along what it knows.
	private void sendUndecided(Set<TargetIncarnation> undecided, Instant now, Effects effects) {
		this.toldUndecided.retainAll(undecided);
		if (undecided.size() <= MAXIMUM_UNDECIDED_TOLD) {
			undecided.stream().filter(this.toldUndecided::add).forEach((target) -> send(target, now, effects));
		}
	}

	private void send(TargetIncarnation target, Instant now, Effects effects) {
		this.evidence.find(target)
			.filter((loss) -> !loss.traits().isEmpty())
			.ifPresent((loss) -> effects.add(new EntryEffect.Broadcast(toMessage(loss, now))));
	}

	private NodeMessage.TargetLost toMessage(TargetLoss loss, Instant now) {
		return loss.toMessage(this.nodeName, this.evidence::hasBeenSound, now);
	}

	/**
	 * Returns the newest losses, as messages.
	 * @param now the current time
	 * @return the messages
	 */
	List<NodeMessage.TargetLost> createReports(Instant now) {
		return this.evidence.isEmpty() ? List.of()
				: this.evidence.losses()
					.stream()
					.filter((loss) -> loss.crashed() && !loss.traits().isEmpty())
					.sorted(Comparator.comparing(TargetLoss::seenAt).reversed())
					.limit(MAXIMUM_LOSSES_TOLD)
					.map((loss) -> toMessage(loss, now))
					.toList();
	}

	/**
	 * Counts how often a message has still to be sent.
	 *
	 * @param timesLeft how often it is still sent
	 * @param dueAt when it is sent next
	 */
	private record Repetition(int timesLeft, Instant dueAt) {

		boolean isDue(Instant now) {
			return !now.isBefore(this.dueAt);
		}

		Repetition next(Instant now) {
			return new Repetition(this.timesLeft - 1, now.plus(BROADCAST_INTERVAL));
		}

		boolean isOver() {
			return this.timesLeft == 0;
		}

	}

	/**
	 * A message that is sent several times.
	 *
	 * @param message creates the message by its age
	 * @param at when it was true
	 * @param repetition how often it has still to be sent
	 */
	private record RepeatedReport(Function<Duration, NodeMessage> message, Instant at, Repetition repetition) {
	}

}
