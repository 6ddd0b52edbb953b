package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.CrashSuspicions;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * Records what the end of an attempt shows about its target, about the path to the
 * targets and about the content of the request.
 */
final class AttemptOutcomes {

	/**
	 * How long a target is ejected that reports that it is full: about one step of its
	 * batch.
	 */
	private static final Duration FULL_TARGET_EJECTION = Duration.ofMillis(60);

	/** How long a target is ejected that does not match its directory entry. */
	private static final Duration WRONG_TARGET_EJECTION = Duration.ofMillis(500);

	/**
	 * Time after its first event from which on a stream has not crashed its target, which
	 * would have ended as it began to answer.
	 */
	private static final Duration SOUND_STREAM_TIME = Duration.ofMillis(250);

	/**
	 * Longest time from the moment at which a target begins to answer to the arrival of
	 * its first event.
	 */
	private static final Duration FIRST_EVENT_TIME = Duration.ofMillis(200);

	private final TargetDirectory directory;

	private final TargetSelector targetSelector;

	private final TargetReachability reachability;

	private final CrashSuspicions crashSuspicions;

	private AttemptOutcomes(TargetDirectory directory, TargetSelector targetSelector, TargetReachability reachability,
			CrashSuspicions crashSuspicions) {
		this.directory = directory;
		this.targetSelector = targetSelector;
		this.reachability = reachability;
		this.crashSuspicions = crashSuspicions;
	}

	static AttemptOutcomes of(TargetDirectory directory, TargetSelector targetSelector, TargetReachability reachability,
			CrashSuspicions crashSuspicions) {
		return new AttemptOutcomes(directory, targetSelector, reachability, crashSuspicions);
	}

	/**
	 * Records the end of an attempt.
	 * @param request the request
	 * @param target the target of the attempt
	 * @param end how the attempt ended
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void record(DispatchedRequest request, TargetName target, AttemptEnd end, Instant now, Effects effects) {
		if (end instanceof AttemptEnd.Delivered) {
			recordDelivered(request, target, now, effects);
		}
		else if (end instanceof AttemptEnd.NotRun notRun) {
			recordNotRun(request, target, notRun.cause(), now, effects);
		}
		else if (end instanceof AttemptEnd.Unknown unknown) {
			recordLost(request, target, unknown.connectionLost(), now, effects);
		}
		else if (end instanceof AttemptEnd.Broken broken) {
			recordLost(request, target, broken.connectionLost(), now, effects);
		}
	}

	private void recordDelivered(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		boolean streaming = request.route().kind().isStreaming();
		if (!streaming || request.attemptAnsweredAt().isPresent()) {
			reportSound(request, now, effects);
		}
		if (!streaming) {
			Duration time = Duration.between(request.attemptStartedAt(), now);
			this.targetSelector.status(target).recordFirstAnswer(time, now);
			this.targetSelector.slowStarts().recordFirstAnswer(request, target, time, now);
		}
	}

	private void recordNotRun(DispatchedRequest request, TargetName target, NotRunCause cause, Instant now,
			Effects effects) {
		switch (cause) {
			case NOT_CONNECTED -> {
				request.markUnconnected(target);
				this.targetSelector.status(target).recordFailure(now);
				this.reachability.recordFailedConnect(target, now, effects);
				this.crashSuspicions.recordRefused(target, now, effects);
			}
			case WRONG_TARGET -> recordWrongTarget(request, target, now);
			case REFUSED -> {
				this.targetSelector.status(target).eject(now, FULL_TARGET_EJECTION);
				this.targetSelector.slowStarts().recordRefusal(target, now);
			}
			case EXPIRED, NO_TARGET, NODE_UNAVAILABLE -> {
			}
		}
	}

	// A resumed stream asks for the weights that it began with, and a head that serves
	// other weights refuses it too. The refusal of such a stream doesn't show that the
	// group has ended.
	private void recordWrongTarget(DispatchedRequest request, TargetName target, Instant now) {
		this.targetSelector.status(target).eject(now, WRONG_TARGET_EJECTION);
		if (request.answerStarted()) {
			return;
		}
		this.directory.find(target)
			.flatMap(TargetEntry::membership)
			.ifPresent((membership) -> this.targetSelector.markGroupEnded(membership.group(), membership.epoch(), now));
	}

	private void recordLost(DispatchedRequest request, TargetName target, boolean connectionLost, Instant now,
			Effects effects) {
		this.targetSelector.status(target).recordFailure(now);
		suspect(request, connectionLost, now, effects);
		if (connectionLost) {
			this.reachability.recordLostConnection(target, now, effects);
		}
	}

	/**
	 * Records that a run of a request was lost, possibly with its target.
	 * @param request the request
	 * @param connectionLost whether the connection was lost
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void suspect(DispatchedRequest request, boolean connectionLost, Instant now, Effects effects) {
		if (isSound(request, now)) {
			reportSound(request, now, effects);
			return;
		}
		request.attemptTarget().ifPresent((target) -> {
			effects.log(LogEvent.SUSPICION_RAISED, describe(request, target, now));
			this.crashSuspicions.suspect(request.toLostRequest(), request.service(), target, connectionLost, now,
					effects);
		});
	}

	/**
	 * Reports the streams that have not crashed their targets, as far as anything is
	 * suspect.
	 * @param requests the requests without a final answer
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void reportSoundRuns(Collection<DispatchedRequest> requests, Instant now, Effects effects) {
		if (this.crashSuspicions.hasSuspicions()) {
			requests.stream()
				.filter((request) -> !request.attemptFoundSound() && isSound(request, now))
				.forEach((request) -> reportSound(request, now, effects));
		}
	}

	private static boolean isSound(DispatchedRequest request, Instant now) {
		return request.attemptAnsweredAt().filter((at) -> !now.isBefore(at.plus(SOUND_STREAM_TIME))).isPresent();
	}

	private void reportSound(DispatchedRequest request, Instant now, Effects effects) {
		request.markAttemptFoundSound();
		Instant started = request.attemptStartedAt();
		Instant begun = request.attemptAnsweredAt().map((at) -> at.minus(FIRST_EVENT_TIME)).orElse(started);
		this.crashSuspicions.recordSound(request.request().traits(), begun.isAfter(started) ? begun : started, now,
				effects);
	}

	private String describe(DispatchedRequest request, TargetIncarnation target, Instant now) {
		CallerRequest lost = request.request();
		return "request=" + lost.identifier() + " target=" + target.name() + " traits="
				+ RequestTrait.describe(lost.traits()) + " prompt-parts=" + String.join(",", lost.sharedPromptParts())
				+ " answered-millis="
				+ request.attemptAnsweredAt().map((at) -> Duration.between(at, now).toMillis()).orElse(-1L) + " route="
				+ request.route().name() + " path=" + lost.path() + " attempt=" + request.attempts() + " origin="
				+ request.proxied().map(ProxiedRequest::origin).orElse("here") + " "
				+ this.crashSuspicions.describeLosses(lost.contentTrait());
	}

}
