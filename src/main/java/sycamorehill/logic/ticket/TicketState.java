package sycamorehill.logic.ticket;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.logic.platform.CallBudget;

/**
 * The state of the ticket reducer.
 *
 * @param log the desired state and the latest tickets
 * @param sync the progress in reading tickets from the platform
 * @param filings the open filings in the order of their arrival. Only the first is
 * processed, so that filings of the same node never compete for a ticket number
 * @param calls the purpose of each open platform call
 * @param nextCall the number of the next platform call
 * @param wallClock the latest wall clock time, used only for timestamps that people read
 * @param compaction the progress in replacing the snapshot and deleting old tickets
 * @param peers the ticket numbers that peers have reported
 */
public record TicketState(TicketLog log, Synchronisation sync, PVector<Filing> filings,
		PMap<Long, TicketCallPurpose> calls, long nextCall, Instant wallClock, Compaction compaction,
		PeerTickets peers) {

	/**
	 * Creates the state of a node that has just started.
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
