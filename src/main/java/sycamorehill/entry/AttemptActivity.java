package sycamorehill.entry;

/**
 * Activity of one attempt, as far as its answer is a stream.
 *
 * @param <S> the type of the senders of streams
 */
final class AttemptActivity<S> {

	private final StreamActivity<S> activity;

	private final S sender;

	private boolean tracked;

	private boolean started;

	private boolean paused;

	private AttemptActivity(StreamActivity<S> activity, S sender) {
		this.activity = activity;
		this.sender = sender;
	}

	static <S> AttemptActivity<S> of(StreamActivity<S> activity, S sender) {
		return new AttemptActivity<>(activity, sender);
	}

	void recordSent() {
		this.tracked = true;
		this.activity.recordRequestSent(this.sender, System.nanoTime());
	}

	void recordStarted() {
		this.started = true;
		this.activity.recordStreamStarted(this.sender, System.nanoTime());
	}

	/**
	 * Returns whether the first event of the answer has arrived.
	 * @return whether it has
	 */
	boolean isStarted() {
		return this.started;
	}

	void recordProgress() {
		this.activity.recordProgress(this.sender, System.nanoTime());
	}

	/**
	 * Records whether this node has stopped reading the answer.
	 * @param pausedNow whether it has
	 */
	void recordPaused(boolean pausedNow) {
		if (this.paused == pausedNow || !this.started) {
			return;
		}
		this.paused = pausedNow;
		if (pausedNow) {
			this.activity.recordPaused(this.sender);
		}
		else {
			this.activity.recordResumed(this.sender, System.nanoTime());
		}
	}

	void recordEnded() {
		if (this.tracked) {
			recordPaused(false);
			this.activity.recordRequestEnded(this.sender, this.started, System.nanoTime());
		}
	}

}
