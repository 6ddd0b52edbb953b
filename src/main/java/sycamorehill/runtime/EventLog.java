package sycamorehill.runtime;

import org.tinylog.Logger;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;

/**
 * Writes numbered log lines.
 */
public final class EventLog {

	private EventLog() {
	}

	/**
	 * Writes a line.
	 * @param line the line
	 */
	public static void write(LogLine line) {
		String text = line.event().code() + " " + line.event() + " " + line.detail();
		switch (line.event().level()) {
			case INFO -> Logger.info(text);
			case WARN -> Logger.warn(text);
			case ERROR -> Logger.error(text);
		}
	}

	/**
	 * Writes a line about something that threw, with where it was thrown.
	 * @param event the numbered event
	 * @param detail what was being done
	 * @param cause what was thrown
	 */
	public static void failure(LogEvent event, String detail, Throwable cause) {
		Logger.error(cause, event.code() + " " + event + " " + detail);
	}

}
