package sycamorehill.logic.crash;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;

import sycamorehill.model.serving.RequestTrait;

/**
 * Why a request must not be sent to any target now.
 *
 * @param reason the reason, for the caller and the log; names the requests' common
 * properties and the crashes
 * @param retryAfter when it may be decided otherwise
 */
public record CrashRefusal(String reason, Duration retryAfter) {

	/**
	 * Time after which a request that is held to crash targets may be sent again; long,
	 * so that it is retried rarely.
	 */
	private static final Duration CAUSE_RETRY_AFTER = Duration.ofSeconds(30);

	/** Time in which a run ends and its outcome is told. */
	private static final Duration RUN_RETRY_AFTER = Duration.ofMillis(500);

	static CrashRefusal of(CrashCause cause, String crashes) {
		return new CrashRefusal(cause.name() + " was lost with " + cause.losses().size() + " targets: " + crashes,
				CAUSE_RETRY_AFTER);
	}

	static CrashRefusal running(RequestTrait content, List<TargetLoss> lost) {
		return new CrashRefusal(describe(content, lost) + ", and may run at one now", RUN_RETRY_AFTER);
	}

	static CrashRefusal undecided(RequestTrait content, List<TargetLoss> lost) {
		return new CrashRefusal(describe(content, lost) + ", not all of which are known to have crashed",
				RUN_RETRY_AFTER);
	}

	private static String describe(RequestTrait content, List<TargetLoss> lost) {
		return content + " was lost with " + lost.size() + " targets: "
				+ lost.stream()
					.map((loss) -> loss.target().name().toString())
					.sorted()
					.collect(Collectors.joining(","));
	}

}
