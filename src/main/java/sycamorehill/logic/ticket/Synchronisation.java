package sycamorehill.logic.ticket;

import java.time.Instant;
import java.util.List;

import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.ticket.Ticket;

/**
 * The progress of this node in reading tickets from the platform.
 *
 * @param begun the number of synchronisations started so far
 * @param running whether a synchronisation is in progress
 * @param wanted whether another synchronisation is to follow
 * @param anchor the last ticket number of this node when it requested the current list,
 * -1 if none is requested
 * @param listed the tickets of the last page, kept until the snapshot has been read
 * @param pageFull whether there may be more pages
 * @param version the version of the platform in its last answer to a list call, -1 before
 * the first
 * @param behind whether the platform has lost tickets that this node has
 * @param budget limits the calls to the platform
 * @param watching whether a watch call is open
 * @param nextWatch the earliest time of the next watch
 * @param lastSuccess the monotonic time at which a synchronisation last completed
 */
public record Synchronisation(long begun, boolean running, boolean wanted, long anchor, List<Ticket> listed,
		boolean pageFull, long version, boolean behind, CallBudget budget, boolean watching, Instant nextWatch,
		Instant lastSuccess) {

	static Synchronisation initial(CallBudget budget) {
		return new Synchronisation(0, false, false, -1, List.of(), false, -1, false, budget, false, Instant.MIN,
				Instant.MIN);
	}

	Synchronisation start() {
		return new Synchronisation(this.begun + 1, true, false, -1, List.of(), false, this.version, this.behind,
				this.budget, this.watching, this.nextWatch, this.lastSuccess);
	}

	Synchronisation requestAnother() {
		return new Synchronisation(this.begun, this.running, true, this.anchor, this.listed, this.pageFull,
				this.version, this.behind, this.budget, this.watching, this.nextWatch, this.lastSuccess);
	}

	Synchronisation startList(long lastTicket) {
		return new Synchronisation(this.begun, this.running, this.wanted, lastTicket, List.of(), false, this.version,
				this.behind, this.budget, this.watching, this.nextWatch, this.lastSuccess);
	}

	Synchronisation withPage(List<Ticket> tickets, boolean full, long platformVersion) {
		return new Synchronisation(this.begun, this.running, this.wanted, this.anchor, List.copyOf(tickets), full,
				platformVersion, this.behind, this.budget, this.watching, this.nextWatch, this.lastSuccess);
	}

	Synchronisation finish(boolean platformBehind, Instant success) {
		return new Synchronisation(this.begun, false, this.wanted, -1, List.of(), false, this.version, platformBehind,
				this.budget, this.watching, this.nextWatch, success);
	}

	Synchronisation withBudget(CallBudget changed) {
		return new Synchronisation(this.begun, this.running, this.wanted, this.anchor, this.listed, this.pageFull,
				this.version, this.behind, changed, this.watching, this.nextWatch, this.lastSuccess);
	}

	Synchronisation withWatch(boolean waiting, Instant next) {
		return new Synchronisation(this.begun, this.running, this.wanted, this.anchor, this.listed, this.pageFull,
				this.version, this.behind, this.budget, waiting, next, this.lastSuccess);
	}

}
