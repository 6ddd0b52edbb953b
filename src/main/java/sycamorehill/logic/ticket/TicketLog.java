package sycamorehill.logic.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.ticket.AcceptedFiling;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.Ticket;

/**
 * The current desired state and the latest tickets that led to it. The number only
 * increases: a snapshot or ticket without a higher number has no effect. A stale read, a
 * delayed peer message or a platform restored from an older backup therefore can't revert
 * the node to an earlier state.
 *
 * @param truth the current desired state, empty until one is known
 * @param tickets the latest tickets by number, without gaps up to the current number
 * @param truths the desired state after each of the latest tickets. They share structure
 * @param filings the ticket number of each of the latest accepted filings
 * @param filingsByNumber the latest accepted filings by ticket number, used to remove the
 * oldest
 */
public record TicketLog(Optional<DesiredState> truth, TreePMap<Long, Ticket> tickets,
		TreePMap<Long, DesiredState> truths, PMap<FilingIdentifier, Long> filings,
		TreePMap<Long, FilingIdentifier> filingsByNumber) {

	/** The version of the format in which this build writes tickets and snapshots. */
	static final int FORMAT_VERSION = 1;

	/**
	 * Creates a log without a desired state.
	 * @return the log of a node that has just started
	 */
	public static TicketLog empty() {
		return new TicketLog(Optional.empty(), TreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(),
				TreePMap.empty());
	}

	/**
	 * Returns the number of the last applied ticket.
	 * @return the number, -1 while no desired state is known
	 */
	public long number() {
		return this.truth.map(DesiredState::number).orElse(-1L);
	}

	/**
	 * Returns the desired state after a ticket.
	 * @param number the number of the ticket
	 * @return the desired state, empty if the kept history does not include it
	 */
	public Optional<DesiredState> stateAfter(long number) {
		return Optional.ofNullable(this.truths.get(number));
	}

	/**
	 * Returns a ticket of the kept history.
	 * @param number the number of the ticket
	 * @return the ticket, empty if it is not kept
	 */
	public Optional<Ticket> ticket(long number) {
		return Optional.ofNullable(this.tickets.get(number));
	}

	/**
	 * Returns the number of the ticket that was created for a filing.
	 * @param filing the identifier that the operator gave the filing
	 * @return the number, empty if the filing was not accepted or is no longer kept
	 */
	public Optional<Long> acceptedNumber(FilingIdentifier filing) {
		return Optional.ofNullable(this.filings.get(filing));
	}

	/**
	 * Returns the tickets that follow a number.
	 * @param after the number
	 * @param maximum the maximum number of tickets
	 * @return the tickets without gaps, empty if the kept history does not reach back to
	 * the number
	 */
	List<Ticket> ticketsAfter(long after, int maximum) {
		List<Ticket> found = new ArrayList<>();
		for (long number = after + 1; number <= number() && found.size() < maximum; number++) {
			Ticket ticket = this.tickets.get(number);
			if (ticket == null) {
				return List.of();
			}
			found.add(ticket);
		}
		return found;
	}

	/**
	 * Applies the next ticket. Any other ticket is ignored: a lower one has already been
	 * applied, and a higher one would leave a gap.
	 * @param ticket the ticket
	 * @param maximumTickets the maximum number of tickets to keep
	 * @param maximumFilings the maximum number of filings to keep
	 * @return the updated log
	 */
	TicketLog append(Ticket ticket, int maximumTickets, int maximumFilings) {
		if (this.truth.isEmpty() || ticket.number() != number() + 1) {
			return this;
		}
		DesiredState next = this.truth.get().apply(ticket);
		TreePMap<Long, Ticket> keptTickets = this.tickets.plus(ticket.number(), ticket);
		TreePMap<Long, DesiredState> keptStates = this.truths.plus(ticket.number(), next);
		if (keptTickets.size() > maximumTickets) {
			keptTickets = keptTickets.minus(keptTickets.firstKey());
		}
		if (keptStates.size() > maximumTickets) {
			keptStates = keptStates.minus(keptStates.firstKey());
		}
		return new TicketLog(Optional.of(next), keptTickets, keptStates, this.filings, this.filingsByNumber)
			.withFiling(new AcceptedFiling(ticket.draft().filing(), ticket.number()), maximumFilings);
	}

	/**
	 * Replaces the desired state by a snapshot if the snapshot has a higher number.
	 * @param snapshot the snapshot
	 * @param maximumFilings the maximum number of filings to keep
	 * @return the updated log
	 */
	TicketLog adopt(DesiredStateSnapshot snapshot, int maximumFilings) {
		if (snapshot.number() <= number()) {
			return this;
		}
		DesiredState adopted = DesiredState.of(snapshot.number(), snapshot.items());
		TicketLog log = new TicketLog(Optional.of(adopted), TreePMap.empty(),
				TreePMap.singleton(adopted.number(), adopted), this.filings, this.filingsByNumber);
		for (AcceptedFiling filing : snapshot.filings()) {
			log = log.withFiling(filing, maximumFilings);
		}
		return log;
	}

	/**
	 * Creates a snapshot of the current desired state for the platform or a peer.
	 * @param deletedUpTo the number up to which tickets may be deleted
	 * @return the snapshot
	 */
	DesiredStateSnapshot snapshot(long deletedUpTo) {
		DesiredState current = this.truth.orElseThrow(() -> new IllegalStateException("no desired state is known"));
		List<AcceptedFiling> accepted = this.filingsByNumber.entrySet()
			.stream()
			.map((entry) -> new AcceptedFiling(entry.getValue(), entry.getKey()))
			.toList();
		return new DesiredStateSnapshot(current.number(),
				current.items()
					.values()
					.stream()
					.sorted((one, other) -> one.item().key().compareTo(other.item().key()))
					.toList(),
				FORMAT_VERSION, deletedUpTo, accepted);
	}

	private TicketLog withFiling(AcceptedFiling filing, int maximumFilings) {
		PMap<FilingIdentifier, Long> byFiling = this.filings.plus(filing.filing(), filing.number());
		TreePMap<Long, FilingIdentifier> byNumber = this.filingsByNumber.plus(filing.number(), filing.filing());
		while (byNumber.size() > maximumFilings) {
			long oldest = byNumber.firstKey();
			byFiling = byFiling.minus(byNumber.get(oldest));
			byNumber = byNumber.minus(oldest);
		}
		return new TicketLog(this.truth, this.tickets, this.truths, byFiling, byNumber);
	}

}
