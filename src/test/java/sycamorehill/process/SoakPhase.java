package sycamorehill.process;

import java.time.Duration;

/**
 * Where a soak stands: trouble, then time to recover, then time in which every request
 * must be served, then the end.
 */
final class SoakPhase {

	private static final Duration RECOVERY = Duration.ofSeconds(3);

	private static final Duration SERVED = Duration.ofSeconds(2);

	private volatile long troubleEnded = Long.MAX_VALUE;

	void endTrouble() {
		this.troubleEnded = System.nanoTime();
	}

	/**
	 * Returns whether a request that is sent now must be served.
	 * @return whether it must
	 */
	boolean mustServe() {
		return isPast(RECOVERY);
	}

	boolean isEnded() {
		return isPast(RECOVERY.plus(SERVED));
	}

	private boolean isPast(Duration afterTrouble) {
		return this.troubleEnded != Long.MAX_VALUE && System.nanoTime() - this.troubleEnded > afterTrouble.toNanos();
	}

}
