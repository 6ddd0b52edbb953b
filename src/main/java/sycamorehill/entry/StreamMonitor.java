package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEvent;

/**
 * Reports the targets and the nodes whose streams to this node have stalled.
 */
final class StreamMonitor {

	/**
	 * Time without any event on the started streams of a target after which the target is
	 * silent. Events are 30 to 80 ms apart, and up to 200 ms while long prompts are
	 * prefilled beside them.
	 */
	private static final Duration TARGET_SILENCE_TIMEOUT = Duration.ofMillis(450);

	/**
	 * The same while no stream has started: a first event that is on time takes up to 500
	 * ms.
	 */
	private static final Duration TARGET_FIRST_EVENT_TIMEOUT = Duration.ofMillis(1100);

	/**
	 * Additional time for a node that forwards streams, which notices and reports a
	 * silent target itself.
	 */
	private static final Duration NODE_MARGIN = Duration.ofMillis(300);

	private final StreamActivity<TargetName> targets = StreamActivity.of(TARGET_SILENCE_TIMEOUT,
			TARGET_FIRST_EVENT_TIMEOUT);

	private final StreamActivity<String> nodes = StreamActivity.of(TARGET_SILENCE_TIMEOUT.plus(NODE_MARGIN),
			TARGET_FIRST_EVENT_TIMEOUT.plus(NODE_MARGIN));

	private final EntryEventSink eventSink;

	private final LongSupplier nanoClock;

	private final Consumer<Runnable> afterNextRead;

	private boolean checkPending;

	private StreamMonitor(EntryEventSink eventSink, LongSupplier nanoClock, Consumer<Runnable> afterNextRead) {
		this.eventSink = eventSink;
		this.nanoClock = nanoClock;
		this.afterNextRead = afterNextRead;
	}

	/**
	 * Creates a monitor.
	 * @param eventSink receives the reports
	 * @param nanoClock the clock, in nanoseconds
	 * @param afterNextRead runs a task after the event loop has read what waits in the
	 * sockets
	 * @return the monitor
	 */
	static StreamMonitor of(EntryEventSink eventSink, LongSupplier nanoClock, Consumer<Runnable> afterNextRead) {
		return new StreamMonitor(eventSink, nanoClock, afterNextRead);
	}

	/**
	 * Returns the progress of streams from targets.
	 * @return the progress by target
	 */
	StreamActivity<TargetName> targets() {
		return this.targets;
	}

	/**
	 * Returns the progress of streams that other nodes forward.
	 * @return the progress by name of the node
	 */
	StreamActivity<String> nodes() {
		return this.nodes;
	}

	/**
	 * Reports new silences. Called several times a second. Bytes that arrived while the
	 * event loop was busy, or the process didn't run, wait in the sockets: a silence
	 * counts only if it lasts when they have been read.
	 */
	void check() {
		long now = this.nanoClock.getAsLong();
		this.targets.takeResumed().forEach((target) -> this.eventSink.post(new EntryEvent.TargetResumed(target)));
		boolean mayBeSilent = this.targets.mayBeSilent(now) | this.nodes.mayBeSilent(now);
		if (mayBeSilent && !this.checkPending) {
			scheduleReport();
		}
	}

	private void scheduleReport() {
		this.checkPending = true;
		try {
			this.afterNextRead.accept(this::reportSilences);
		}
		catch (Throwable ex) {
			// Else no silence would be reported any more.
			this.checkPending = false;
			throw ex;
		}
	}

	private void reportSilences() {
		this.checkPending = false;
		long now = this.nanoClock.getAsLong();
		if (this.targets.isPathSilent(now)) {
			this.eventSink.post(new EntryEvent.AllTargetsSilent());
		}
		List<StreamActivity.Silence<TargetName>> silences = this.targets.findSilentSenders(now);
		List<StreamActivity.Silence<TargetName>> lasting = this.targets.findLastingSilences(now);
		if (!silences.isEmpty() || !lasting.isEmpty()) {
			this.eventSink
				.post(new EntryEvent.TargetsStalled(this.targets.findStalledNow(now), this.targets.areAllSilent(now)));
		}
		silences.forEach(this::report);
		lasting.forEach((silence) -> this.eventSink
			.post(new EntryEvent.TargetStillSilent(silence.sender(), silence.streamsStarted())));
		this.nodes.findSilentSenders(now).forEach(this::reportProxy);
		this.nodes.findLastingSilences(now).forEach(this::reportProxy);
	}

	private void reportProxy(StreamActivity.Silence<String> silence) {
		this.eventSink.post(new EntryEvent.ProxySilent(silence.sender()));
	}

	/** Records that a target was connected although all streams are silent. */
	void markPathProven() {
		this.targets.markPathProven();
	}

	/** Reports the targets that are silent for a short time. */
	void reportStalledTargets() {
		this.targets.findStalledSenders(this.nanoClock.getAsLong()).forEach(this::report);
	}

	private void report(StreamActivity.Silence<TargetName> silence) {
		this.eventSink.post(new EntryEvent.TargetSilent(silence.sender(), silence.streamsStarted()));
	}

}
