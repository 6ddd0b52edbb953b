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

	/** Idempotency keys can't be claimed in time; orders are refused as not run. */
	ORDER_CLAIMS_UNAVAILABLE(1201, LogLevel.WARN),

	/** A shard keeps as many claims as it may; orders are refused as not run. */
	ORDER_SHARD_FULL(1202, LogLevel.ERROR),

	/** Whether an order ran can't be told. */
	ORDER_OUTCOME_UNKNOWN(1203, LogLevel.WARN),

	/** A connection of or to another node was closed because of what came over it. */
	PEER_CONNECTION_REFUSED(1301, LogLevel.WARN),

	/** A message to another node was larger than a frame may be and was dropped. */
	PEER_MESSAGE_TOO_LARGE(1302, LogLevel.WARN);

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
