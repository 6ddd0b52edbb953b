package sycamorehill.cli;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Turns the first TERM or INT into a planned stop, and HUP into a read of the settings.
 * No signal ends the process: a platform repeats signals, and an end at once would cut
 * off all answers in flight. For an end at once there is KILL. Signals that come during
 * the start take effect when it is over.
 */
final class ProcessSignals {

	private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

	private static final String RELOAD_SIGNAL = "HUP";

	private Optional<Runnable> stop = Optional.empty();

	private Optional<Runnable> reload = Optional.empty();

	private boolean reloadable = true;

	private boolean stopRequested;

	private boolean reloadRequested;

	private ProcessSignals() {
	}

	static ProcessSignals create() {
		return new ProcessSignals();
	}

	/**
	 * Handles the signals of a source from now on.
	 * @param source the source
	 */
	void listen(SignalSource source) {
		for (String name : STOP_SIGNALS) {
			source.handle(name, () -> requestStop(name));
		}
		source.handle(RELOAD_SIGNAL, this::requestReload);
	}

	/**
	 * Sets what a planned stop does. It is done now if a stop was requested before.
	 * @param plannedStop starts the planned stop
	 */
	synchronized void onStop(Runnable plannedStop) {
		this.stop = Optional.of(plannedStop);
		if (this.stopRequested) {
			plannedStop.run();
		}
	}

	/**
	 * Sets how the settings are read again. They are read now if that was requested
	 * before.
	 * @param read reads the settings
	 */
	synchronized void onReload(Runnable read) {
		this.reload = Optional.of(read);
		if (this.reloadRequested) {
			read.run();
		}
	}

	/** Ignores requests to read the settings again. */
	synchronized void ignoreReload() {
		this.reloadable = false;
	}

	private synchronized void requestStop(String name) {
		if (this.stopRequested) {
			log(name, "none, the process is stopping already");
			return;
		}
		this.stopRequested = true;
		this.stop.ifPresent(Runnable::run);
		log(name, this.stop.isPresent() ? "planned stop" : "planned stop after the start");
	}

	private synchronized void requestReload() {
		if (!this.reloadable) {
			log(RELOAD_SIGNAL, "none, the settings are read only at the start");
			return;
		}
		this.reloadRequested = true;
		this.reload.ifPresent(Runnable::run);
		log(RELOAD_SIGNAL, this.reload.isPresent() ? "settings are read" : "settings are read after the start");
	}

	private static void log(String name, String effect) {
		EventLog.write(LogLine.of(LogEvent.SIGNAL_RECEIVED, "signal=" + name + " effect='" + effect + "'"));
	}

}
