package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.model.serving.TargetIncarnation;

/**
 * Remembers the first answers of targets that had been lost. A process that answers has
 * not crashed, unless it is a new one under the old name.
 */
final class SignsOfLife {

	/**
	 * Time after an answer in which the start of a new process under the target's old
	 * name becomes known.
	 */
	private static final Duration RESTART_NOTICE_TIME = Duration.ofSeconds(1);

	private final Map<TargetIncarnation, SignOfLife> signs = new HashMap<>();

	private SignsOfLife() {
	}

	static SignsOfLife create() {
		return new SignsOfLife();
	}

	/**
	 * Records an answer, unless there was one before.
	 * @param target the target that had been lost
	 * @param sentAt when the request was sent to it
	 * @param now when the answer began
	 */
	void record(TargetIncarnation target, Instant sentAt, Instant now) {
		this.signs.putIfAbsent(target, new SignOfLife(sentAt, now));
	}

	void remove(TargetIncarnation target) {
		this.signs.remove(target);
	}

	/**
	 * Returns whether a target has answered a request that was sent after it was lost.
	 * @param target the target
	 * @param since when it was lost
	 * @return true if it has
	 */
	boolean hasAnsweredAfter(TargetIncarnation target, Instant since) {
		SignOfLife sign = this.signs.get(target);
		return sign != null && sign.sentAt().isAfter(since);
	}

	/**
	 * Removes the answers after which a new process would be known by now.
	 * @param now the current time
	 * @return when the answered requests were sent, by target
	 */
	Map<TargetIncarnation, Instant> removeDue(Instant now) {
		Map<TargetIncarnation, Instant> due = new HashMap<>();
		this.signs.forEach((target, sign) -> {
			if (!now.isBefore(sign.answeredAt().plus(RESTART_NOTICE_TIME))) {
				due.put(target, sign.sentAt());
			}
		});
		this.signs.keySet().removeAll(due.keySet());
		return due;
	}

	/**
	 * An answer of a target that had been lost.
	 *
	 * @param sentAt when the request was sent to it
	 * @param answeredAt when the answer began
	 */
	private record SignOfLife(Instant sentAt, Instant answeredAt) {
	}

}
