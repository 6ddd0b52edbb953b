package sycamorehill.model.log;

/**
 * Catalogue of log events. Numbers are never reused; docs/LOGS.md explains each event.
 */
public enum LogEvent {

	/** The node has started. */
	NODE_STARTED(1001, LogLevel.INFO),

	/** The node was asked to stop. */
	NODE_STOPPING(1002, LogLevel.INFO),

	/** The settings were reloaded and are in effect. */
	SETTINGS_RELOADED(1005, LogLevel.INFO),

	/** The reloaded settings are invalid and were rejected. */
	SETTINGS_REFUSED(1006, LogLevel.ERROR),

	/** The process received a signal that asks it to stop or to read its settings. */
	SIGNAL_RECEIVED(1007, LogLevel.INFO),

	/** The process ends while callers wait for answers. */
	PROCESS_ENDS_WITH_REQUESTS(1008, LogLevel.WARN),

	/** The life of this node before this one ended without a planned stop. */
	EARLIER_LIFE_UNPLANNED(1009, LogLevel.WARN),

	/** The process ends; no caller waits for an answer. */
	PROCESS_ENDS(1012, LogLevel.INFO),

	/** An error that no code handles ended a thread or a command that serves. */
	THREAD_FAILED(1013, LogLevel.ERROR),

	/** An effect could not be executed. */
	EFFECT_FAILED(1003, LogLevel.ERROR),

	/**
	 * A step of the logic threw an exception; every process but an entry node stops as
	 * planned.
	 */
	INVARIANT_BROKEN(1004, LogLevel.ERROR),

	/** The virtual machine threw an error, such as one of memory, stack or classes. */
	ERROR_THROWN(1010, LogLevel.ERROR),

	/** Log lines were dropped, because the output was not read or memory was short. */
	LOG_LINES_DROPPED(1011, LogLevel.WARN),

	/**
	 * No request is in flight any more, or the time limit has passed; the stopping node
	 * exits.
	 */
	REQUESTS_DRAINED(1101, LogLevel.INFO),

	/** A stopping node aborted a request at its time limit. */
	REQUEST_CUT(1102, LogLevel.WARN),

	/** A stopping node closes connections whose callers have not taken their answers. */
	ANSWERS_NOT_TAKEN(1103, LogLevel.WARN),

	/** This node ejected a target, which receives no requests for a while. */
	TARGET_ASIDE(1111, LogLevel.WARN),

	/** A target reported that it is leaving. */
	TARGET_LEAVING(1112, LogLevel.INFO),

	/** A target crashed while it ran requests. */
	TARGET_DIED(1121, LogLevel.WARN),

	/** A second target crashed while it ran the same content. */
	CONTENT_QUARANTINED(1122, LogLevel.ERROR),

	/** Idempotency keys can't be claimed in time; orders are refused without running. */
	ORDER_CLAIMS_UNAVAILABLE(1201, LogLevel.WARN),

	/** A shard holds its maximum number of claims; orders are refused without running. */
	ORDER_SHARD_FULL(1202, LogLevel.ERROR),

	/** It is unknown whether an order ran. */
	ORDER_OUTCOME_UNKNOWN(1203, LogLevel.WARN),

	/**
	 * A connection from or to another node was closed because of the data received over
	 * it.
	 */
	PEER_CONNECTION_REFUSED(1301, LogLevel.WARN),

	/** A message to another node exceeded the maximum frame size and was dropped. */
	PEER_MESSAGE_TOO_LARGE(1302, LogLevel.WARN),

	/** A message of another entry node can't be parsed. */
	NODE_MESSAGE_UNREADABLE(1303, LogLevel.WARN),

	/** Tickets were applied. */
	TICKETS_IN_FORCE(1401, LogLevel.INFO),

	/** A complete desired state was adopted from the platform or a peer. */
	TRUTH_ADOPTED(1402, LogLevel.INFO),

	/** A filing has its outcome. */
	FILING_ANSWERED(1403, LogLevel.INFO),

	/** The platform has lost tickets that are in effect. */
	PLATFORM_CAME_BACK_OLDER(1404, LogLevel.ERROR),

	/** The platform lists again what it had lost. */
	PLATFORM_RESTORED(1405, LogLevel.INFO),

	/** A ticket or snapshot was written by a newer version. */
	TICKET_FORMAT_UNKNOWN(1406, LogLevel.ERROR),

	/** The snapshot was renewed. */
	SNAPSHOT_WRITTEN(1407, LogLevel.INFO),

	/** A node is live, for the first time or again. */
	NODE_ALIVE(1501, LogLevel.INFO),

	/** A node was silent for too long and is considered dead. */
	NODE_DEAD(1502, LogLevel.WARN),

	/** The node controls the groups of its data centre. */
	GROUP_CONTROL_TAKEN(1701, LogLevel.INFO),

	/** A group changes its phase, members or generation. */
	GROUP_CHANGED(1702, LogLevel.INFO),

	/** A write of the allocation was refused or its result is unknown. */
	GROUP_ALLOCATION_CONFLICT(1703, LogLevel.INFO),

	/** An engine has received a higher fencing number. */
	GROUP_ORDER_FENCED(1704, LogLevel.WARN),

	/** A group is repaired with a standby while the platform is silent. */
	GROUP_REPAIRED_OFFLINE(1705, LogLevel.WARN),

	/** A command was sent to an engine, or answered. */
	ENGINE_ORDER(1711, LogLevel.INFO),

	/** The lease for the control of the groups was acquired, lost or released. */
	GROUP_LEASE(1712, LogLevel.INFO),

	/** The controller's summary of a service's groups. */
	GROUP_SUMMARY(1713, LogLevel.INFO),

	/** Another version of the configuration is in effect. */
	CONFIGURATION_IN_FORCE(1801, LogLevel.INFO),

	/** A configuration was ignored. */
	CONFIGURATION_PASSED_OVER(1802, LogLevel.WARN),

	/** Contact with the store was lost or restored, or a call to the store failed. */
	STORE_CONTACT(1803, LogLevel.WARN),

	/** An object in the store can't be parsed. */
	STORE_CONTENT_UNREADABLE(1804, LogLevel.WARN),

	/** A target was added, changed or removed. */
	TARGET_CHANGED(1805, LogLevel.INFO),

	/** The store lists a target as leaving. */
	TARGET_NOTICE(1806, LogLevel.INFO),

	/** Another node reads the store for this one, or this one reads for itself. */
	STORE_READER(1807, LogLevel.INFO),

	/** The text of an announced configuration has not arrived in time. */
	CONFIGURATION_TEXT_MISSING(1808, LogLevel.WARN),

	/** A request was answered. */
	REQUEST_SERVED(1901, LogLevel.INFO),

	/** A request was refused and did not run. */
	REQUEST_REFUSED(1902, LogLevel.WARN),

	/** A request failed. */
	REQUEST_FAILED(1903, LogLevel.WARN),

	/** A request is sent to another target. */
	REQUEST_SENT_AGAIN(1904, LogLevel.WARN),

	/** All answers of a target have stalled. */
	TARGET_SILENT(1905, LogLevel.WARN),

	/** A target reported a rate limit for all nodes, or no longer reports one. */
	TARGET_LIMITED(1906, LogLevel.WARN),

	/** A target refused a request and asked for no more requests for a while. */
	TARGET_RESTING(1907, LogLevel.WARN),

	/** The node reaches no target of a service. */
	SERVICE_UNREACHABLE(1908, LogLevel.WARN),

	/** The node reaches targets of a service again. */
	SERVICE_REACHABLE(1909, LogLevel.INFO),

	/** A request is sent through another node. */
	REQUEST_PROXIED(1910, LogLevel.INFO),

	/** The attempt for a request of another node has ended. */
	PROXIED_REQUEST_ENDED(1911, LogLevel.INFO),

	/** A node through which streams are sent has stopped sending. */
	PROXY_SILENT(1912, LogLevel.WARN),

	/** The node's share of the retries that all nodes may send together has changed. */
	RETRY_SHARE_CHANGED(1913, LogLevel.INFO),

	/** This node closed a connection within an answer. */
	ANSWER_CUT(1914, LogLevel.WARN),

	/** A target was lost while it ran a request. */
	SUSPICION_RAISED(1915, LogLevel.WARN),

	/** What was lost with a target doesn't count as its cause any more. */
	SUSPICION_DROPPED(1916, LogLevel.INFO),

	/** A target that was lost has crashed. */
	SUSPICION_CONFIRMED(1917, LogLevel.WARN),

	/** Requests have something in common with which targets crash, and are refused. */
	CRASH_CAUSE_FOUND(1918, LogLevel.ERROR),

	/** What was held to crash targets is no longer refused. */
	CRASH_CAUSE_DROPPED(1919, LogLevel.WARN),

	/** A request runs to test whether such requests still crash targets. */
	CRASH_CAUSE_TRIED(1920, LogLevel.WARN),

	/** Connections of callers are closed unread, because the node holds too many. */
	CONNECTIONS_CLOSED_UNREAD(1921, LogLevel.WARN),

	/** From now on this node sends nothing to targets in a data centre. */
	EVACUATION_BEGUN(1922, LogLevel.WARN),

	/** This node may send to targets in a data centre again. */
	EVACUATION_ENDED(1923, LogLevel.INFO),

	/** The store holds an evacuation of a data centre that does not exist. */
	EVACUATION_UNKNOWN(1924, LogLevel.WARN),

	/** A configuration names a home region that no data centre has. */
	HOME_REGION_UNKNOWN(1927, LogLevel.WARN),

	/** A target is cold, and receives few requests. */
	TARGET_COLD(1925, LogLevel.INFO),

	/** A target is warm again, or its slow start is over. */
	TARGET_WARM(1926, LogLevel.INFO),

	/** One of two attempts of a stream has ended, and the stream goes on at the other. */
	STREAM_CONTINUED(1928, LogLevel.WARN),

	/** A target sent an answer that no request on its connection waits for. */
	ANSWER_UNMATCHED(1929, LogLevel.WARN);

	private final int number;

	private final LogLevel level;

	LogEvent(int number, LogLevel level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * Returns the event's code in the log.
	 * @return the code, SYC- followed by the number
	 */
	public String code() {
		return "SYC-" + this.number;
	}

	/**
	 * Returns the severity of the event.
	 * @return the level
	 */
	public LogLevel level() {
		return this.level;
	}

}
