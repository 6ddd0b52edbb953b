package sycamorehill.runtime;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;

/**
 * Writes log lines that begin with the code and the name of a numbered event.
 */
public final class EventLog {

	private EventLog() {
	}

	/**
	 * Writes a log line at the level of its event.
	 * @param line the log line
	 */
	public static void write(LogLine line) {
		String text = line.event().code() + " " + line.event() + " " + LogText.oneLine(line.detail());
		switch (line.event().level()) {
			case INFO -> Logger.info(text);
			case WARN -> Logger.warn(text);
			case ERROR -> Logger.error(text);
		}
	}

	/**
	 * Writes a log line about an exception, with its stack trace.
	 * @param event the numbered event
	 * @param detail the operation that failed
	 * @param cause the exception
	 */
	public static void failure(LogEvent event, String detail, Throwable cause) {
		Logger.error(cause, event.code() + " " + event + " " + LogText.oneLine(detail));
	}

	/**
	 * Writes out all lines and ends the log. Lines are written by a thread of their own,
	 * and those that wait for it would be lost at the end of the process.
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public static void close() throws InterruptedException {
		ProviderRegistry.getLoggingProvider().shutdown();
	}

}
