package sycamorehill.runtime;

import org.tinylog.Logger;

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

}
