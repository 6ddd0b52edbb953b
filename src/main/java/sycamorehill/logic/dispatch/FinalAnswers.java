package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEffect.Finished.Outcome;

/**
 * Creates the final answers to requests, with their log lines and metrics. Only a request
 * that no target can have run is refused as not run.
 */
final class FinalAnswers {

	/** Beginning of the causes of refused requests. */
	static final String NOT_RUN_PREFIX = "not run: ";

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * Shortest time after which a refused caller is asked to retry: slots come free
	 * within a fraction of an answer's duration. A random part is added so that callers
	 * don't retry together.
	 */
	private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(300);

	private static final int RETRY_AFTER_JITTER_MILLIS = 500;

	private final RandomGenerator random;

	private FinalAnswers(RandomGenerator random) {
		this.random = random;
	}

	static FinalAnswers of(RandomGenerator random) {
		return new FinalAnswers(random);
	}

	/**
	 * Returns the time after which a refused caller is asked to retry.
	 * @return the time from now
	 */
	Duration retryAfter() {
		return retryAfter(Duration.ZERO);
	}

	private Duration retryAfter(Duration restLeft) {
		Duration minimum = (restLeft.compareTo(MINIMUM_RETRY_AFTER) > 0) ? restLeft : MINIMUM_RETRY_AFTER;
		return minimum.plusMillis(this.random.nextInt(RETRY_AFTER_JITTER_MILLIS));
	}

	/**
	 * Answers a request that was routed to no service.
	 * @param request the request
	 * @param answer the answer to the caller
	 * @param version the version of the configuration that decided it
	 * @param effects receives the resulting effects
	 */
	void refuseUnrouted(CallerRequest request, EntryEffect.Answer answer, String version, Effects effects) {
		effects.log(LogEvent.REQUEST_REFUSED,
				"request=" + request.identifier() + " status=" + answer.status() + " cause='" + answer.detail()
						+ "' host=" + request.host() + " path=" + request.path() + " configuration=" + version);
		effects.add(answer);
	}

	void recordDelivered(DispatchedRequest request, AttemptPlace place, AttemptEnd.Delivered delivered, Instant now,
			Effects effects) {
		effects.log(LogEvent.REQUEST_SERVED,
				describe(request, now) + " " + place.fields("target") + " status=" + delivered.status()
						+ " first-millis=" + request.timeToFirstAnswer().map(Duration::toMillis).orElse(-1L)
						+ " pause-millis=" + delivered.longestPause().toMillis()
						+ delivered.connection().map((use) -> " connection=" + use).orElse(""));
		addFinished(request, Outcome.SERVED, now, effects);
	}

	/**
	 * Answers a request that is not sent to any further target. The answer depends on
	 * whether the request may have run.
	 * @param request the request
	 * @param cause why no further target is tried
	 * @param restLeft how long all targets of the request still rest
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void giveUp(DispatchedRequest request, String cause, Duration restLeft, Instant now, Effects effects) {
		long number = request.request().number();
		boolean mayHaveRun = request.answerStarted() || request.failureHeld() || request.mayHaveRun();
		addFinished(request, mayHaveRun ? Outcome.FAILED : Outcome.REFUSED, now, effects);
		String fields = describe(request, now) + " cause='" + cause + "'";
		if (request.answerStarted()) {
			effects.add(new EntryEffect.AbortAnswer(number));
			effects.log(LogEvent.REQUEST_FAILED, fields + " outcome=broken");
		}
		else if (request.failureHeld()) {
			effects.add(new EntryEffect.ReturnHeldFailure(number));
			effects.log(LogEvent.REQUEST_FAILED, fields + " outcome=failure-of-target");
		}
		else if (request.mayHaveRun()) {
			effects.add(new EntryEffect.Answer(number, BAD_GATEWAY, "the outcome is not known: " + cause,
					Optional.empty()));
			effects.log(LogEvent.REQUEST_FAILED, fields + " outcome=unknown");
		}
		else {
			Duration retryAfter = retryAfter(restLeft);
			effects.add(new EntryEffect.Answer(number, UNAVAILABLE, NOT_RUN_PREFIX + cause, Optional.of(retryAfter)));
			effects.log(LogEvent.REQUEST_REFUSED, fields + " come-back-millis=" + retryAfter.toMillis());
		}
	}

	/**
	 * Answers a request whose time has expired while a target may still be running it.
	 * @param request the request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void answerTimeout(DispatchedRequest request, Instant now, Effects effects) {
		addFinished(request, Outcome.FAILED, now, effects);
		effects.add(new EntryEffect.Answer(request.request().number(), GATEWAY_TIMEOUT, "no answer in time",
				Optional.empty()));
		effects.log(LogEvent.REQUEST_FAILED, describe(request, now) + " cause='time is over' outcome=unknown");
	}

	void recordCut(DispatchedRequest request, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_FAILED,
				describe(request, now) + " cause='this node cut the connection' outcome=broken");
		addFinished(request, Outcome.FAILED, now, effects);
	}

	void recordAbandoned(DispatchedRequest request, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_FAILED, describe(request, now) + " cause='caller left'");
		addFinished(request, Outcome.ABANDONED, now, effects);
	}

	private static void addFinished(DispatchedRequest request, Outcome outcome, Instant now, Effects effects) {
		effects.add(new EntryEffect.Finished(request.service(), outcome, Duration.between(request.arrivedAt(), now),
				request.timeToFirstAnswer()));
	}

	/**
	 * Formats the fields that identify a request in a log line.
	 * @param request the request
	 * @param now the current time
	 * @return the fields
	 */
	static String describe(DispatchedRequest request, Instant now) {
		return "request=" + request.request().identifier() + " route=" + request.route().name() + " service="
				+ request.service() + request.request().model().map((model) -> " model=" + model).orElse("")
				+ " attempts=" + request.attempts() + " millis="
				+ Duration.between(request.arrivedAt(), now).toMillis();
	}

}
