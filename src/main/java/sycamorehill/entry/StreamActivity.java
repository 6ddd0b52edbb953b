package sycamorehill.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks whether the senders of streams make progress: targets, or nodes through which
 * streams are sent. When a group loses a member, all its streams stall at once while its
 * head still accepts requests. This is the first indication of the failure, seconds
 * before the directory reports it.
 *
 * @param <S> identifies a sender
 */
final class StreamActivity<S> {

	/**
	 * Time without any byte on all started streams after which the path is in doubt,
	 * rather than one sender.
	 */
	static final Duration PATH_SILENCE_TIMEOUT = Duration.ofMillis(250);

	/**
	 * Checks are several times as frequent. After a longer pause of this process, bytes
	 * that have arrived have not been read yet, and the time of the pause is no silence.
	 */
	private static final Duration MAXIMUM_CHECK_INTERVAL = Duration.ofMillis(250);

	/** Additional time in which a test of the path decides. */
	private static final Duration PATH_TEST_TIME = Duration.ofMillis(200);

	/** Interval in which a silence that lasts is reported again. */
	private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

	/** Number of senders of started streams whose silence puts the path in doubt. */
	private static final int MINIMUM_SENDERS = 2;

	private final Duration silenceTimeout;

	private final Duration firstEventTimeout;

	private final Map<S, StreamProgress> bySender = new HashMap<>();

	/** Senders that have sent something after their silence was reported. */
	private final Set<S> resumed = new HashSet<>();

	private long lastCheckNanos;

	private boolean pathSilenceReported;

	private boolean pathProven;

	private StreamActivity(Duration silenceTimeout, Duration firstEventTimeout) {
		this.silenceTimeout = silenceTimeout;
		this.firstEventTimeout = firstEventTimeout;
	}

	/**
	 * Creates a tracker.
	 * @param <S> identifies a sender
	 * @param silenceTimeout time without any event on the started streams of a sender
	 * after which it is silent
	 * @param firstEventTimeout the same while none of its streams has started
	 * @return the tracker
	 */
	static <S> StreamActivity<S> of(Duration silenceTimeout, Duration firstEventTimeout) {
		return new StreamActivity<>(silenceTimeout, firstEventTimeout);
	}

	void recordRequestSent(S sender, long nowNanos) {
		StreamProgress progress = this.bySender.computeIfAbsent(sender, (name) -> new StreamProgress());
		if (progress.waitingStreams + progress.startedStreams == 0) {
			progress.lastProgressNanos = nowNanos;
			progress.reported = false;
		}
		progress.waitingStreams++;
	}

	void recordStreamStarted(S sender, long nowNanos) {
		StreamProgress progress = this.bySender.get(sender);
		if (progress != null) {
			progress.waitingStreams--;
			progress.startedStreams++;
			recordProgress(sender, nowNanos);
		}
	}

	void recordProgress(S sender, long nowNanos) {
		this.pathSilenceReported = false;
		StreamProgress progress = this.bySender.get(sender);
		if (progress != null) {
			progress.lastProgressNanos = nowNanos;
			if (progress.reported) {
				progress.reported = false;
				this.resumed.add(sender);
			}
		}
	}

	/**
	 * Returns the senders that have sent something after their silence was reported.
	 * @return the senders, each once
	 */
	Set<S> takeResumed() {
		Set<S> senders = Set.copyOf(this.resumed);
		this.resumed.clear();
		return senders;
	}

	/**
	 * Records that nothing is read of a started stream, because its receiver is slow. Its
	 * silence is not the sender's.
	 * @param sender the sender
	 */
	void recordPaused(S sender) {
		StreamProgress progress = this.bySender.get(sender);
		if (progress != null) {
			progress.pausedStreams++;
		}
	}

	/**
	 * Records that a paused stream is read again.
	 * @param sender the sender
	 * @param nowNanos the current time, in nanoseconds
	 */
	void recordResumed(S sender, long nowNanos) {
		StreamProgress progress = this.bySender.get(sender);
		if (progress != null) {
			progress.pausedStreams--;
			progress.lastProgressNanos = nowNanos;
		}
	}

	void recordRequestEnded(S sender, boolean streamStarted, long nowNanos) {
		StreamProgress progress = this.bySender.get(sender);
		if (progress == null) {
			return;
		}
		if (streamStarted) {
			progress.startedStreams--;
		}
		else {
			progress.waitingStreams--;
		}
		if (progress.waitingStreams + progress.startedStreams <= 0) {
			this.bySender.remove(sender);
		}
	}

	/**
	 * Returns whether a sender or the path may have become silent. What waits in the
	 * sockets must be read before it is reported.
	 * @param nowNanos the current time, in nanoseconds
	 * @return whether there may be a new silence
	 */
	boolean mayBeSilent(long nowNanos) {
		if (isCheckDelayed(nowNanos)) {
			return false;
		}
		boolean pathMayBeSilent = !this.pathSilenceReported && isSilent(startedStreams(), nowNanos);
		return pathMayBeSilent || this.bySender.values()
			.stream()
			.anyMatch((progress) -> progress.isLasting(nowNanos)
					|| isNewlySilent(progress, this.silenceTimeout, this.firstEventTimeout, nowNanos));
	}

	private boolean isCheckDelayed(long nowNanos) {
		long sinceLastCheck = nowNanos - this.lastCheckNanos;
		boolean delayed = sinceLastCheck > MAXIMUM_CHECK_INTERVAL.toNanos();
		if (delayed) {
			excludeFromSilences(sinceLastCheck, nowNanos);
		}
		this.lastCheckNanos = nowNanos;
		return delayed;
	}

	// What stopped this process, as a busy machine does, may have stopped the senders as
	// well: right after the pause they have sent nothing that could be read.
	private void excludeFromSilences(long pauseNanos, long nowNanos) {
		for (StreamProgress progress : this.bySender.values()) {
			long silence = nowNanos - progress.lastProgressNanos;
			progress.lastProgressNanos = nowNanos - Math.max(0, silence - pauseNanos);
		}
	}

	/**
	 * Returns the senders that have become silent since the last call.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the senders, each once per silence
	 */
	List<Silence<S>> findSilentSenders(long nowNanos) {
		if (isCheckDelayed(nowNanos)) {
			return List.of();
		}
		boolean pathInDoubt = !this.pathProven && isSilent(startedStreams(), nowNanos);
		Duration margin = pathInDoubt ? PATH_TEST_TIME : Duration.ZERO;
		return findSilentSenders(this.silenceTimeout.plus(margin), this.firstEventTimeout.plus(margin), nowNanos);
	}

	/**
	 * Returns the senders that are silent for a short time, because the path is broken.
	 * Requests may wait for their first event for longer while started streams go on.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the senders, each once per silence
	 */
	List<Silence<S>> findStalledSenders(long nowNanos) {
		boolean allSilent = startedStreams().stream().allMatch((progress) -> progress.isSilent(nowNanos));
		return findSilentSenders(PATH_SILENCE_TIMEOUT, allSilent ? PATH_SILENCE_TIMEOUT : this.firstEventTimeout,
				nowNanos);
	}

	/**
	 * Returns the senders whose reported silence still lasts, each once per interval.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the senders
	 */
	List<Silence<S>> findLastingSilences(long nowNanos) {
		List<Silence<S>> silences = new ArrayList<>();
		this.bySender.forEach((sender, progress) -> {
			if (progress.isLasting(nowNanos)) {
				progress.reportedNanos = nowNanos;
				silences.add(new Silence<>(sender, progress.startedStreams > 0));
			}
		});
		return silences;
	}

	/**
	 * Returns the senders of started streams that have sent nothing for a short time.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the senders, silent or not
	 */
	Set<S> findStalledNow(long nowNanos) {
		return this.bySender.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isRead() && entry.getValue().isSilent(nowNanos))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether the started streams of several senders are all silent.
	 * @param nowNanos the current time, in nanoseconds
	 * @return true as long as the silence lasts
	 */
	boolean areAllSilent(long nowNanos) {
		return isSilent(startedStreams(), nowNanos);
	}

	private List<Silence<S>> findSilentSenders(Duration startedTimeout, Duration waitingTimeout, long nowNanos) {
		List<Silence<S>> silences = new ArrayList<>();
		this.bySender.forEach((sender, progress) -> {
			if (isNewlySilent(progress, startedTimeout, waitingTimeout, nowNanos)) {
				progress.reported = true;
				progress.reportedNanos = nowNanos;
				silences.add(new Silence<>(sender, progress.startedStreams > 0));
			}
		});
		return silences;
	}

	private static boolean isNewlySilent(StreamProgress progress, Duration startedTimeout, Duration waitingTimeout,
			long nowNanos) {
		if (progress.startedStreams > 0 && !progress.isRead()) {
			return false;
		}
		Duration timeout = (progress.startedStreams > 0) ? startedTimeout : waitingTimeout;
		return !progress.reported && nowNanos - progress.lastProgressNanos > timeout.toNanos();
	}

	private List<StreamProgress> startedStreams() {
		return this.bySender.values().stream().filter(StreamProgress::isRead).toList();
	}

	private static boolean isSilent(List<StreamProgress> started, long nowNanos) {
		return started.size() >= MINIMUM_SENDERS
				&& started.stream().allMatch((progress) -> progress.isSilent(nowNanos));
	}

	/**
	 * Returns whether the started streams of several senders have all become silent.
	 * @param nowNanos the current time, in nanoseconds
	 * @return true once per silence
	 */
	boolean isPathSilent(long nowNanos) {
		if (this.pathSilenceReported || !isSilent(startedStreams(), nowNanos)) {
			return false;
		}
		this.pathSilenceReported = true;
		this.pathProven = false;
		return true;
	}

	/** Records that the path works, although the started streams are silent. */
	void markPathProven() {
		this.pathProven = true;
	}

	/**
	 * A sender whose streams have all stalled.
	 *
	 * @param <S> identifies a sender
	 * @param sender the sender
	 * @param streamsStarted whether any of the streams had started
	 */
	record Silence<S>(S sender, boolean streamsStarted) {
	}

	/**
	 * Progress of the streams of one sender.
	 */
	private static final class StreamProgress {

		private int waitingStreams;

		private int startedStreams;

		private int pausedStreams;

		private long lastProgressNanos;

		private boolean reported;

		private long reportedNanos;

		private boolean isRead() {
			return this.startedStreams > this.pausedStreams;
		}

		private boolean isLasting(long nowNanos) {
			return this.reported && nowNanos - this.reportedNanos > REPEAT_INTERVAL.toNanos();
		}

		private boolean isSilent(long nowNanos) {
			return nowNanos - this.lastProgressNanos > PATH_SILENCE_TIMEOUT.toNanos();
		}

	}

}
