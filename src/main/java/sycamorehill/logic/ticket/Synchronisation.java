package sycamorehill.logic.ticket;

import java.time.Instant;
import java.util.List;

import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.ticket.Ticket;

/**
 * Where the node stands in learning the tickets from the platform.
 *
 * @param begun how many synchronisations have begun
 * @param running whether one is under way
 * @param wanted whether another one is to begin after it
 * @param anchor the node's own last ticket when the last list was asked for
 * @param listed tickets of the last page, held until the snapshot has been read
 * @param pageFull whether there may be more pages
 * @param version the platform's version as of the last list, -1 before the first
 * @param behind whether the platform was found to have lost tickets that this node has
 * @param budget when the next call may be made
 * @param watching whether a watch is waiting
 * @param nextWatch the earliest time of the next watch
 * @param lastSuccess own monotonic time of the last finished synchronisation
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
