package sycamorehill.logic.crash;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.RequestTrait;

/**
 * Logs the causes of crashes that are found, and those that no longer stand.
 */
final class CrashCauseLog {

	private final CrashEvidence evidence;

	/** The properties of each cause that the log has named, by the cause's name. */
	private Map<String, Set<RequestTrait>> logged = Map.of();

	private CrashCauseLog(CrashEvidence evidence) {
		this.evidence = evidence;
	}

	static CrashCauseLog of(CrashEvidence evidence) {
		return new CrashCauseLog(evidence);
	}

	/**
	 * Logs what has changed.
	 * @param causes the causes that stand now
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return true if causes were found or no longer stand
	 */
	boolean update(List<CrashCause> causes, Instant now, Effects effects) {
		Map<String, Set<RequestTrait>> standing = causes.stream()
			.collect(Collectors.toMap(CrashCause::name, CrashCause::traits));
		if (standing.keySet().equals(this.logged.keySet())) {
			return false;
		}
		causes.stream()
			.filter((cause) -> !this.logged.containsKey(cause.name()))
			.forEach((cause) -> logFound(cause, now, effects));
		this.logged.forEach((name, traits) -> {
			if (!standing.containsKey(name)) {
				logDropped(name, traits, effects);
			}
		});
		this.logged = standing;
		return true;
	}

	private static void logFound(CrashCause cause, Instant now, Effects effects) {
		effects.log(LogEvent.CRASH_CAUSE_FOUND, "traits=" + cause.name() + " targets=" + cause.losses().size()
				+ " crashes=" + cause.describeCrashes(now));
	}

	private void logDropped(String name, Set<RequestTrait> traits, Effects effects) {
		effects.log(LogEvent.CRASH_CAUSE_DROPPED,
				"traits=" + name + " crashes-left=" + this.evidence.countCrashes(traits));
	}

}
