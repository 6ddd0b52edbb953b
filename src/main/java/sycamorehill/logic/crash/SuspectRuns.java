package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.RequestTrait;

/**
 * Lets a content that was lost with targets run once at a time, as far as all nodes have
 * told. The next run shows whether it crashes targets; those beside it would only crash
 * more of them before that is known.
 */
final class SuspectRuns {

	/** Longest time for which a run without an outcome holds back others. */
	private static final Duration MAXIMUM_HOLD_TIME = Duration.ofSeconds(1);

	private final CrashEvidence evidence;

	private final CrashReports reports;

	private final Map<RequestTrait, Run> runs = new HashMap<>();

	private SuspectRuns(CrashEvidence evidence, CrashReports reports) {
		this.evidence = evidence;
		this.reports = reports;
	}

	static SuspectRuns of(CrashEvidence evidence, CrashReports reports) {
		return new SuspectRuns(evidence, reports);
	}

	/**
	 * Admits a request, or finds why it must wait for the outcome of another run.
	 * @param request the request
	 * @param now the current time
	 * @return the reason; empty if it is admitted
	 */
	Optional<CrashRefusal> admit(CallerRequest request, Instant now) {
		RequestTrait content = request.contentTrait();
		if (!this.evidence.isSuspect(content)) {
			return Optional.empty();
		}
		if (isRunning(content, now)) {
			return Optional.of(CrashRefusal.running(content, this.evidence.findLosses(content)));
		}
		start(request, false, now);
		return Optional.empty();
	}

	/**
	 * Records that a request of this node's caller is sent to a target, and tells the
	 * other nodes if its content may crash the target.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordSent(CallerRequest request, Instant now, Effects effects) {
		RequestTrait content = request.contentTrait();
		if (!this.evidence.isSuspect(content)) {
			return;
		}
		start(request, isTrial(request, now), now);
		if (this.evidence.findLosses(content).stream().anyMatch(TargetLoss::crashed)) {
			this.reports.tellRun(content, effects);
		}
	}

	private boolean isRunning(RequestTrait content, Instant now) {
		return Optional.ofNullable(this.runs.get(content)).filter((run) -> !run.isOver(now)).isPresent();
	}

	/**
	 * Records that a request runs although it is held to crash targets.
	 * @param request the request
	 * @param now the current time
	 */
	void startTrial(CallerRequest request, Instant now) {
		start(request, true, now);
	}

	private void start(CallerRequest request, boolean trial, Instant now) {
		this.runs.put(request.contentTrait(), new Run(request.identifier(), now, trial));
	}

	/**
	 * Returns whether a request runs although it is held to crash targets.
	 * @param request the request
	 * @param now the current time
	 * @return true if this node has let it through
	 */
	boolean isTrial(CallerRequest request, Instant now) {
		Run run = this.runs.get(request.contentTrait());
		return run != null && run.trial() && run.identifier().equals(request.identifier()) && !run.isOver(now);
	}

	/**
	 * Records that a content runs at another node.
	 * @param content the content
	 * @param startedAt when it was sent to a target there
	 */
	void handleRunElsewhere(RequestTrait content, Instant startedAt) {
		this.runs.merge(content, new Run("", startedAt, false), Run::later);
	}

	/**
	 * Records that an admitted request was answered without having run.
	 * @param request the request
	 */
	void withdraw(CallerRequest request) {
		this.runs.computeIfPresent(request.contentTrait(),
				(content, run) -> run.identifier().equals(request.identifier()) ? null : run);
	}

	/**
	 * Records that a content ran without a crash, here or at another node.
	 * @param content the content
	 */
	void handleSound(RequestTrait content) {
		this.runs.remove(content);
	}

	/**
	 * Records that a target was lost with a content, here or at another node.
	 * @param content the content
	 * @param lostAt when it was lost; earlier losses say nothing of the current run
	 */
	void handleLoss(RequestTrait content, Instant lostAt) {
		this.runs.computeIfPresent(content, (key, run) -> lostAt.isBefore(run.startedAt()) ? run : null);
	}

	void expire(Instant now) {
		this.runs.values().removeIf((run) -> run.isOver(now));
	}

	/**
	 * A run of a suspect content.
	 *
	 * @param identifier the caller's identifier of the request; empty at other nodes
	 * @param startedAt when it was last sent to a target; until then, when it was
	 * admitted
	 * @param trial whether it runs although it is held to crash targets
	 */
	private record Run(String identifier, Instant startedAt, boolean trial) {

		Run later(Run other) {
			return other.startedAt().isAfter(this.startedAt) ? other : this;
		}

		boolean isOver(Instant now) {
			return now.isAfter(this.startedAt.plus(MAXIMUM_HOLD_TIME));
		}

	}

}
