package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEffect.Finished.Outcome;

/**
 * The final answers of requests: what the caller gets, the line in the log, and the
 * numbers. Only a request that no target can have run is refused as not run.
 */
final class FinalAnswers {

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * When to come back if all targets are full: slots come free within a fraction of an
	 * answer's length. The spread keeps callers apart.
	 */
	private static final Duration COME_BACK = Duration.ofMillis(300);

	private static final int COME_BACK_SPREAD_MILLIS = 500;

	private final RandomGenerator random;

	private FinalAnswers(RandomGenerator random) {
		this.random = random;
	}

	static FinalAnswers of(RandomGenerator random) {
		return new FinalAnswers(random);
	}

	/**
	 * When a caller that was refused is asked to come back.
	 * @return the time from now
	 */
	Duration comeBack() {
		return COME_BACK.plusMillis(this.random.nextInt(COME_BACK_SPREAD_MILLIS));
	}

	/**
	 * Answers a request that was given to no service.
	 * @param request the request
	 * @param answer what the caller gets
	 * @param version the configuration that decided it
	 * @param effects collects what is wanted
	 */
	void unrouted(CallerRequest request, EntryEffect.Answer answer, String version, Effects effects) {
		effects.log(LogEvent.REQUEST_REFUSED,
				"request=" + request.identifier() + " status=" + answer.status() + " cause='" + answer.detail()
						+ "' host=" + request.host() + " path=" + request.path() + " configuration=" + version);
		effects.add(answer);
	}

	void delivered(ActiveRequest request, TargetName target, AttemptEnd.Delivered delivered, Instant now,
			Effects effects) {
		effects.log(LogEvent.REQUEST_SERVED,
				describe(request, now) + " target=" + target + " status=" + delivered.status() + " first-millis="
						+ request.firstAnswer().map(Duration::toMillis).orElse(-1L) + " pause-millis="
						+ delivered.longestPause().toMillis());
		finished(request, Outcome.SERVED, now, effects);
	}

	/**
	 * Answers a request that no target will answer.
	 * @param request the request
	 * @param cause why
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void givenUp(ActiveRequest request, String cause, Instant now, Effects effects) {
		long number = request.request().number();
		boolean ran = request.answerBegun() || request.failureHeld() || request.mayHaveRun();
		finished(request, ran ? Outcome.FAILED : Outcome.REFUSED, now, effects);
		String line = describe(request, now) + " cause='" + cause + "'";
		if (request.answerBegun()) {
			effects.add(new EntryEffect.BreakAnswer(number));
			effects.log(LogEvent.REQUEST_FAILED, line + " outcome=broken");
		}
		else if (request.failureHeld()) {
			effects.add(new EntryEffect.GiveHeldFailure(number));
			effects.log(LogEvent.REQUEST_FAILED, line + " outcome=failure-of-target");
		}
		else if (request.mayHaveRun()) {
			effects.add(new EntryEffect.Answer(number, BAD_GATEWAY, "the outcome is not known: " + cause,
					Optional.empty()));
			effects.log(LogEvent.REQUEST_FAILED, line + " outcome=unknown");
		}
		else {
			Duration comeBack = comeBack();
			effects.add(new EntryEffect.Answer(number, UNAVAILABLE, "not run: " + cause, Optional.of(comeBack)));
			effects.log(LogEvent.REQUEST_REFUSED, line + " come-back-millis=" + comeBack.toMillis());
		}
	}

	/**
	 * Answers a request that a target may still be running when its time is over.
	 * @param request the request
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void timeOver(ActiveRequest request, Instant now, Effects effects) {
		finished(request, Outcome.FAILED, now, effects);
		effects.add(new EntryEffect.Answer(request.request().number(), GATEWAY_TIMEOUT, "no answer in time",
				Optional.empty()));
		effects.log(LogEvent.REQUEST_FAILED, describe(request, now) + " cause='time is over' outcome=unknown");
	}

	void abandoned(ActiveRequest request, Instant now, Effects effects) {
		effects.log(LogEvent.REQUEST_FAILED, describe(request, now) + " cause='caller left'");
		finished(request, Outcome.ABANDONED, now, effects);
	}

	private static void finished(ActiveRequest request, Outcome outcome, Instant now, Effects effects) {
		effects.add(new EntryEffect.Finished(request.service(), outcome, Duration.between(request.arrived(), now),
				request.firstAnswer()));
	}

	/**
	 * Describes a request for a line of the log.
	 * @param request the request
	 * @param now the present time
	 * @return the fields
	 */
	static String describe(ActiveRequest request, Instant now) {
		return "request=" + request.request().identifier() + " route=" + request.route().name() + " service="
				+ request.service() + request.request().model().map((model) -> " model=" + model).orElse("")
				+ " attempts=" + request.attempts() + " millis=" + Duration.between(request.arrived(), now).toMillis();
	}

}
