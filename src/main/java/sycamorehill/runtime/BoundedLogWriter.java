package sycamorehill.runtime;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

import sycamorehill.model.log.LogEvent;

/**
 * Writes log lines to the standard output on a thread of its own. If the output is not
 * read, lines are dropped and counted beyond a limit: the logging library's own thread
 * keeps them all until the memory is full, and ends with the first error, after which no
 * line is written any more.
 */
public final class BoundedLogWriter extends AbstractFormatPatternWriter {

	/** Number of lines that may wait; they take some megabytes. */
	static final int MAXIMUM_WAITING_LINES = 8192;

	/** The rest is kept for warnings and errors. */
	static final int MAXIMUM_WAITING_INFO_LINES = 6144;

	/** Maximum time for which the end of the process waits for the last lines. */
	private static final long CLOSE_TIMEOUT_MILLIS = 2000;

	private final PrintStream output;

	private final Queue<LogEntry> waiting = new ArrayDeque<>();

	private final Thread thread;

	private long droppedLines;

	private boolean closed;

	/**
	 * Creates a writer to the standard output. Called by the logging library.
	 * @param properties the writer's properties in the configuration of the library
	 */
	public BoundedLogWriter(Map<String, String> properties) {
		this(properties, System.out);
	}

	BoundedLogWriter(Map<String, String> properties, PrintStream output) {
		super(properties);
		this.output = output;
		this.thread = new Thread(this::run, "log");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	@Override
	public synchronized void write(LogEntry entry) {
		boolean info = entry.getLevel().ordinal() < Level.WARN.ordinal();
		if (this.waiting.size() >= (info ? MAXIMUM_WAITING_INFO_LINES : MAXIMUM_WAITING_LINES)) {
			this.droppedLines++;
			return;
		}
		this.waiting.add(entry);
		notifyAll();
	}

	synchronized int waitingLines() {
		return this.waiting.size();
	}

	private void run() {
		boolean running = true;
		while (running) {
			try {
				running = writeWaiting();
			}
			catch (InterruptedException ex) {
				running = false;
			}
			catch (Throwable ex) {
				// Without memory for a line, the next ones may still be written.
				countDropped(1);
			}
		}
	}

	private boolean writeWaiting() throws InterruptedException {
		List<LogEntry> entries = new ArrayList<>();
		long dropped;
		boolean last;
		synchronized (this) {
			while (this.waiting.isEmpty() && !this.closed) {
				wait();
			}
			entries.addAll(this.waiting);
			this.waiting.clear();
			dropped = this.droppedLines;
			this.droppedLines = 0;
			last = this.closed;
		}
		for (LogEntry entry : entries) {
			this.output.print(render(entry));
		}
		if (dropped > 0) {
			this.output.println("WARN " + LogEvent.LOG_LINES_DROPPED.code() + ' ' + LogEvent.LOG_LINES_DROPPED
					+ " lines=" + dropped);
		}
		this.output.flush();
		return !last;
	}

	private synchronized void countDropped(long lines) {
		this.droppedLines += lines;
	}

	@Override
	public void flush() {
		// Lines are flushed by the writer's own thread.
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			notifyAll();
		}
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
