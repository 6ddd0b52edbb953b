package sycamorehill.model.log;

/**
 * The catalogue of log events. Numbers are never used again; docs/LOGS.md explains each.
 */
public enum LogEvent {

	/** The node has started. */
	NODE_STARTED(1001, LogLevel.INFO),

	/** The node was told to stop. */
	NODE_STOPPING(1002, LogLevel.INFO),

	/** Everything in flight is over; the stopping node exits. */
	REQUESTS_DRAINED(1101, LogLevel.INFO),

	/** A stopping node cut a request off at its bound. */
	REQUEST_CUT(1102, LogLevel.WARN),

	/** This node gives a target no work for a while. */
	TARGET_ASIDE(1111, LogLevel.WARN),

	/** A target said that it is leaving. */
	TARGET_LEAVING(1112, LogLevel.INFO);

	private final int number;

	private final LogLevel level;

	LogEvent(int number, LogLevel level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * The event's code as it stands in the log.
	 * @return the code, SYC- and the number
	 */
	public String code() {
		return "SYC-" + this.number;
	}

	/**
	 * How urgent the event is.
	 * @return the level
	 */
	public LogLevel level() {
		return this.level;
	}

}
