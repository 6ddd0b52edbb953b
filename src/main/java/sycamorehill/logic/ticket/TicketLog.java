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
 * The truth in force and the latest tickets behind it. The number only grows: a snapshot
 * or a ticket that is not higher changes nothing, so that a stale read, a late peer or a
 * platform that came back older can't take the node back.
 *
 * @param truth the state in force, empty until there is one
 * @param tickets the latest tickets by number, without gaps, up to the number of the
 * truth
 * @param truths the truth after each of the latest tickets; they share their structure
 * @param filings the ticket of each of the latest filings
 * @param filingsByNumber the same by number, to forget the oldest
 */
public record TicketLog(Optional<DesiredState> truth, TreePMap<Long, Ticket> tickets,
		TreePMap<Long, DesiredState> truths, PMap<FilingIdentifier, Long> filings,
		TreePMap<Long, FilingIdentifier> filingsByNumber) {

	/** Version of the format in which this build writes tickets and snapshots. */
	static final int FORMAT_VERSION = 1;

	/**
	 * A log without a truth.
	 * @return the log of a fresh node
	 */
	public static TicketLog empty() {
		return new TicketLog(Optional.empty(), TreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(),
				TreePMap.empty());
	}

	/**
	 * The last ticket in force.
	 * @return its number, -1 while there is no truth
	 */
	public long number() {
		return this.truth.map(DesiredState::number).orElse(-1L);
	}

	/**
	 * The truth after a ticket.
	 * @param number the ticket
	 * @return the truth, empty if history does not reach back so far
	 */
	public Optional<DesiredState> stateAfter(long number) {
		return Optional.ofNullable(this.truths.get(number));
	}

	/**
	 * A ticket of the kept history.
	 * @param number its number
	 * @return the ticket, if it is kept
	 */
	public Optional<Ticket> ticket(long number) {
		return Optional.ofNullable(this.tickets.get(number));
	}

	/**
	 * The ticket that a filing has become.
	 * @param filing the filer's identifier
	 * @return the number, if the filing was accepted and is still remembered
	 */
	public Optional<Long> acceptedNumber(FilingIdentifier filing) {
		return Optional.ofNullable(this.filings.get(filing));
	}

	/**
	 * The tickets behind a number.
	 * @param after the number
	 * @param maximum the most tickets
	 * @return the tickets without a gap; empty if history does not reach back so far
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
	 * Folds the next ticket in. Any other than the next is passed over: a lower one is
	 * known already, a higher one would leave a gap.
	 * @param ticket the ticket
	 * @param maximumTickets how many tickets are kept
	 * @param maximumFilings how many filings are kept
	 * @return the log after it
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
	 * Takes a whole truth in if it is higher than the present one.
	 * @param snapshot the truth
	 * @param maximumFilings how many filings are kept
	 * @return the log after it
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
	 * The present truth as it is kept in the platform or sent to a peer.
	 * @param deletedUpTo tickets up to this number may be deleted
	 * @return the snapshot
	 */
	DesiredStateSnapshot snapshot(long deletedUpTo) {
		DesiredState current = this.truth.orElseThrow(() -> new IllegalStateException("there is no truth to keep"));
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
