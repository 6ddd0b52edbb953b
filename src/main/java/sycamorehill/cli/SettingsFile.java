package sycamorehill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import sun.misc.Signal;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.platform.PlatformSettings;
import sycamorehill.runtime.EventLog;

/**
 * The users' platform's settings file, read again on SIGHUP and when its content changes.
 * Without a handler SIGHUP would end the process.
 */
final class SettingsFile {

	/** The file may change without a signal; it is small, and read from memory. */
	private static final Duration LOOK = Duration.ofSeconds(2);

	private final Path path;

	private final Consumer<EntrySettings> changed;

	private String content;

	private SettingsFile(Path path, Consumer<EntrySettings> changed) throws IOException {
		this.path = path;
		this.changed = changed;
		this.content = Files.readString(path);
	}

	static void watch(Path path, Consumer<EntrySettings> changed) throws IOException {
		SettingsFile file = new SettingsFile(path, changed);
		ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor((work) -> {
			Thread worker = new Thread(work, "settings");
			worker.setDaemon(true);
			return worker;
		});
		Signal.handle(new Signal("HUP"), (signal) -> thread.execute(file::look));
		thread.scheduleWithFixedDelay(file::look, LOOK.toMillis(), LOOK.toMillis(), TimeUnit.MILLISECONDS);
	}

	// Settings that are not sound are refused whole: those before stay in force.
	private void look() {
		try {
			String present = Files.readString(this.path);
			if (!present.equals(this.content)) {
				this.content = present;
				this.changed.accept(PlatformSettings.read(this.path));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			EventLog.write(LogLine.of(LogEvent.SETTINGS_REFUSED, "cause='" + ex.getMessage() + "'"));
		}
		catch (Throwable ex) {
			// What leaves the task would cancel it: no later change would be read.
			EventLog.failure((ex instanceof Error) ? LogEvent.ERROR_THROWN : LogEvent.SETTINGS_REFUSED,
					"settings " + this.path, ex);
		}
	}

}
