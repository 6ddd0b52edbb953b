package sycamorehill.model.log;

/**
 * One line for the log.
 *
 * @param event the numbered event
 * @param detail what it is about, without keys or bodies
 */
public record LogLine(LogEvent event, String detail) {

	/**
	 * Creates the line.
	 * @param event the numbered event
	 * @param detail what it is about, without keys or bodies
	 * @return the line
	 */
	public static LogLine of(LogEvent event, String detail) {
		return new LogLine(event, detail);
	}

}
