package sycamorehill.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * The attempts of a request that run at the same time. The first of them that goes on
 * with the answer ends the others, so that each event is forwarded once and in order.
 */
final class ConcurrentAttempts {

	private final Map<Integer, Attempt> byNumber = new HashMap<>();

	private ConcurrentAttempts() {
	}

	static ConcurrentAttempts create() {
		return new ConcurrentAttempts();
	}

	void add(int number, Attempt attempt) {
		this.byNumber.values().removeIf(Attempt::isEnded);
		this.byNumber.put(number, attempt);
	}

	void cancel(int number) {
		Attempt attempt = this.byNumber.remove(number);
		if (attempt != null) {
			attempt.cancel();
		}
	}

	void cancelAll() {
		this.byNumber.values().forEach(Attempt::cancel);
		this.byNumber.clear();
	}

	/**
	 * Cancels all attempts but one.
	 * @param number number of the attempt that goes on
	 * @return whether another one was running
	 */
	boolean cancelOthers(int number) {
		if (this.byNumber.size() < 2) {
			return false;
		}
		Attempt remaining = this.byNumber.remove(number);
		boolean othersRan = this.byNumber.values().stream().anyMatch((attempt) -> !attempt.isEnded());
		cancelAll();
		this.byNumber.put(number, remaining);
		return othersRan;
	}

	void pause(boolean paused) {
		this.byNumber.values().forEach((attempt) -> attempt.pause(paused));
	}

}
