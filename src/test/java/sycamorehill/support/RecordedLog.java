package sycamorehill.support;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writer of the log that keeps the last lines in memory, for tests that look for a line.
 */
public final class RecordedLog implements Writer {

	private static final int MAXIMUM_LINES = 10_000;

	private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(3);

	private static final Queue<String> LINES = new ConcurrentLinkedQueue<>();

	/**
	 * Creates the writer as the log configuration requires.
	 * @param properties the properties of the configuration, unused
	 */
	public RecordedLog(Map<String, String> properties) {
	}

	/**
	 * Returns the lines so far that contain all of some texts.
	 * @param texts the texts
	 * @return the lines
	 */
	public static List<String> lines(String... texts) {
		return LINES.stream().filter((line) -> List.of(texts).stream().allMatch(line::contains)).toList();
	}

	/**
	 * Waits for a line that contains all of some texts.
	 * @param texts the texts
	 * @return the lines, empty if there were none in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static List<String> await(String... texts) throws InterruptedException {
		Instant end = Instant.now().plus(MAXIMUM_DELAY);
		while (lines(texts).isEmpty() && Instant.now().isBefore(end)) {
			Thread.sleep(10);
		}
		return lines(texts);
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return Set.of(LogEntryValue.MESSAGE);
	}

	@Override
	public void write(LogEntry entry) {
		LINES.add(String.valueOf(entry.getMessage()));
		if (LINES.size() > MAXIMUM_LINES) {
			LINES.remove();
		}
	}

	@Override
	public void flush() {
	}

	@Override
	public void close() {
	}

}
