package sycamorehill.entry;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Limits the connections of callers, so that descriptors are left for targets, other
 * nodes and the store. A load balancer may hand most new connections to one node for a
 * while, and callers keep theirs for many seconds.
 */
final class CallerConnectionLimit {

	/** Descriptors that the process needs for files. */
	private static final int DESCRIPTORS_FOR_FILES = 200;

	/** Share of the other descriptors that callers may use. */
	private static final double CALLERS_SHARE = 0.6;

	/**
	 * Share of the limit from which on answers ask their callers to close the connection.
	 */
	private static final double CROWDED_SHARE = 0.75;

	/**
	 * Shortest time after which an idle connection is closed for a new one. The next
	 * request of one that has just become idle may be on its way.
	 */
	private static final Duration MINIMUM_IDLE_TIME = Duration.ofMillis(200);

	/** Connections may be closed unread hundreds of times a second. */
	private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

	/** Maximum number of connections that are tried for one that can be closed. */
	private static final int MAXIMUM_TRIALS = 8;

	private final int maximumConnections;

	private final LongSupplier nanoClock;

	/** Idle connections with the time since when they are, the oldest first. */
	private final Map<CallerConnection, Long> idleSince = new LinkedHashMap<>();

	private long unread;

	private long loggedAt;

	private CallerConnectionLimit(int maximumConnections, LongSupplier nanoClock) {
		this.maximumConnections = maximumConnections;
		this.nanoClock = nanoClock;
	}

	static CallerConnectionLimit of(int maximumDescriptors, LongSupplier nanoClock) {
		int forSockets = Math.max(1, maximumDescriptors - DESCRIPTORS_FOR_FILES);
		return new CallerConnectionLimit(Math.max(1, (int) (CALLERS_SHARE * forSockets)), nanoClock);
	}

	/**
	 * Makes room for a new connection.
	 * @param connections number of connections, without the new one
	 * @return false if there is none
	 */
	boolean makeRoom(int connections) {
		boolean hasRoom = connections < this.maximumConnections || closeLongestIdle();
		if (!hasRoom) {
			recordUnread(connections);
		}
		return hasRoom;
	}

	private boolean closeLongestIdle() {
		long idleBefore = this.nanoClock.getAsLong() - MINIMUM_IDLE_TIME.toNanos();
		return this.idleSince.entrySet()
			.stream()
			.takeWhile((idle) -> idle.getValue() - idleBefore <= 0)
			.limit(MAXIMUM_TRIALS)
			.map(Map.Entry::getKey)
			.toList()
			.stream()
			.filter(CallerConnection::closeIfIdle)
			.findFirst()
			.map((closed) -> this.idleSince.remove(closed) != null)
			.isPresent();
	}

	private void recordUnread(int connections) {
		this.unread++;
		long now = this.nanoClock.getAsLong();
		if (this.unread == 1 || now - this.loggedAt >= LOG_INTERVAL.toNanos()) {
			this.loggedAt = now;
			EventLog.write(LogLine.of(LogEvent.CONNECTIONS_CLOSED_UNREAD, "connections=" + connections + " maximum="
					+ this.maximumConnections + " closed-unread=" + this.unread));
		}
	}

	/**
	 * Returns how many connections were closed unread for lack of room.
	 * @return the number since the start
	 */
	long unread() {
		return this.unread;
	}

	boolean isCrowded(int connections) {
		return connections > CROWDED_SHARE * this.maximumConnections;
	}

	void markIdle(CallerConnection connection) {
		this.idleSince.remove(connection);
		this.idleSince.put(connection, this.nanoClock.getAsLong());
	}

	void markBusy(CallerConnection connection) {
		this.idleSince.remove(connection);
	}

}
