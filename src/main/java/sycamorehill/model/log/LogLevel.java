package sycamorehill.model.log;

/**
 * Urgency of a log event.
 */
public enum LogLevel {

	/** Worth knowing. */
	INFO,

	/** Something is degraded. */
	WARN,

	/** Someone has to act. */
	ERROR

}
