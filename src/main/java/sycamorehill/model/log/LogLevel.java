package sycamorehill.model.log;

/**
 * Severity of a log event.
 */
public enum LogLevel {

	/** Normal operation. */
	INFO,

	/** Something is degraded. */
	WARN,

	/** An operator has to act. */
	ERROR

}
