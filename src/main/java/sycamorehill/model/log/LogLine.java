package sycamorehill.model.log;

/**
 * Entry of the log.
 *
 * @param event the numbered event
 * @param detail details of the event, without keys or bodies
 */
public record LogLine(LogEvent event, String detail) {

	/**
	 * Creates a log line.
	 * @param event the numbered event
	 * @param detail details of the event, without keys or bodies
	 * @return the line
	 */
	public static LogLine of(LogEvent event, String detail) {
		return new LogLine(event, detail);
	}

}
