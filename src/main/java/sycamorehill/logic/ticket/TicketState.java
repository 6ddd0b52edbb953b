package sycamorehill.logic.ticket;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.logic.platform.CallBudget;

/**
 * State of the part: filing, folding and spreading of tickets.
 *
 * @param log the truth in force and the latest tickets
 * @param sync learning from the platform
 * @param filings filings in the order of their coming; only the first is worked on, so
 * that a node never races with itself
 * @param calls what each open platform call was made for
 * @param nextCall the number of the next platform call
 * @param wallClock the last wall clock time, for records that people read
 * @param compaction renewing the snapshot
 * @param peers what the other nodes have told of their tickets
 */
public record TicketState(TicketLog log, Synchronisation sync, PVector<Filing> filings,
		PMap<Long, TicketCallPurpose> calls, long nextCall, Instant wallClock, Compaction compaction,
		PeerTickets peers) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static TicketState initial() {
		CallBudget none = CallBudget.create(0, 0, Duration.ZERO, Duration.ZERO, 0);
		return new TicketState(TicketLog.empty(), Synchronisation.initial(none), TreePVector.empty(),
				HashTreePMap.empty(), 1, Instant.EPOCH, Compaction.initial(), PeerTickets.none());
	}

	TicketState withLog(TicketLog changed) {
		return new TicketState(changed, this.sync, this.filings, this.calls, this.nextCall, this.wallClock,
				this.compaction, this.peers);
	}

	TicketState withSync(Synchronisation changed) {
		return new TicketState(this.log, changed, this.filings, this.calls, this.nextCall, this.wallClock,
				this.compaction, this.peers);
	}

	TicketState withFilings(PVector<Filing> changed) {
		return new TicketState(this.log, this.sync, changed, this.calls, this.nextCall, this.wallClock, this.compaction,
				this.peers);
	}

	TicketState withCalls(PMap<Long, TicketCallPurpose> changed, long next) {
		return new TicketState(this.log, this.sync, this.filings, changed, next, this.wallClock, this.compaction,
				this.peers);
	}

	TicketState withWallClock(Instant time) {
		return new TicketState(this.log, this.sync, this.filings, this.calls, this.nextCall, time, this.compaction,
				this.peers);
	}

	TicketState withPeers(PeerTickets changed) {
		return new TicketState(this.log, this.sync, this.filings, this.calls, this.nextCall, this.wallClock,
				this.compaction, changed);
	}

	TicketState withCompaction(Compaction changed) {
		return new TicketState(this.log, this.sync, this.filings, this.calls, this.nextCall, this.wallClock, changed,
				this.peers);
	}

}
