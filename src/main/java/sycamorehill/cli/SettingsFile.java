package sycamorehill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.platform.PlatformSettings;
import sycamorehill.runtime.EventLog;

/**
 * The users' platform's settings file, read again on SIGHUP and when its content changes.
 */
final class SettingsFile {

	/** The file may change without a signal; it is small, and read from memory. */
	private static final Duration LOOK = Duration.ofSeconds(2);

	private final Path path;

	private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor((work) -> {
		Thread worker = new Thread(work, "settings");
		worker.setDaemon(true);
		return worker;
	});

	private String content;

	private SettingsFile(Path path, String content) {
		this.path = path;
		this.content = content;
	}

	/**
	 * Reads a settings file.
	 * @param path path of the file
	 * @return the file with its present content
	 * @throws IOException if the file can't be read
	 */
	static SettingsFile read(Path path) throws IOException {
		return new SettingsFile(path, Files.readString(path));
	}

	/**
	 * Returns the settings in the content that was read first.
	 * @return the settings
	 * @throws IOException if the content can't be read
	 */
	EntrySettings settings() throws IOException {
		return PlatformSettings.parse(this.content);
	}

	/**
	 * Reads the file again whenever it may have changed.
	 * @param signals request a read
	 * @param changed receives changed settings
	 */
	void watch(ProcessSignals signals, Consumer<EntrySettings> changed) {
		Runnable look = () -> look(changed);
		signals.onReload(() -> this.thread.execute(look));
		this.thread.scheduleWithFixedDelay(look, LOOK.toMillis(), LOOK.toMillis(), TimeUnit.MILLISECONDS);
	}

	// Settings that are not sound are refused whole: those before stay in force.
	private void look(Consumer<EntrySettings> changed) {
		try {
			String present = Files.readString(this.path);
			if (!present.equals(this.content)) {
				this.content = present;
				changed.accept(PlatformSettings.parse(present));
			}
		}
		catch (IOException | RuntimeException ex) {
			EventLog.write(LogLine.of(LogEvent.SETTINGS_REFUSED, "cause='" + ex.getMessage() + "'"));
		}
		catch (Error ex) {
			// What leaves the task would cancel it: no later change would be read.
			EventLog.failure(LogEvent.ERROR_THROWN, "settings " + this.path, ex);
		}
	}

}
