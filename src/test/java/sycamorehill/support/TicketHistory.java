package sycamorehill.support;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import sycamorehill.experiment.ControlNode;
import sycamorehill.logic.ticket.TicketValidator;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.Ticket;

/**
 * Records what filers heard and what nodes had in force, and checks that it is one
 * history. A ticket log is linearizable if its numbers give the order: then the check
 * needs no search. Each fault found is one line.
 */
public final class TicketHistory {

	private final List<Call> calls = new ArrayList<>();

	private final TreeMap<Long, Ticket> tickets = new TreeMap<>();

	private final Map<Long, DesiredState> truths = new HashMap<>();

	private final Map<NodeIncarnation, Long> numbers = new HashMap<>();

	private final Set<String> faults = new HashSet<>();

	public static TicketHistory create() {
		return new TicketHistory();
	}

	/**
	 * Takes a node's state in after a step.
	 * @param node the node
	 */
	public void seen(ControlNode node) {
		long number = node.ticket().log().number();
		long before = this.numbers.getOrDefault(node.self().incarnation(), -1L);
		if (number < before) {
			this.faults.add(node.self().incarnation() + " went back from " + before + " to " + number);
		}
		if (number == before) {
			return;
		}
		this.numbers.put(node.self().incarnation(), number);
		DesiredState truth = node.desiredState().orElseThrow();
		DesiredState other = this.truths.putIfAbsent(number, truth);
		if (other != null && !other.equals(truth)) {
			this.faults.add("two truths after ticket " + number);
		}
		for (Ticket ticket : node.ticket().log().tickets().tailMap(Math.max(before, 0), false).values()) {
			Ticket known = this.tickets.putIfAbsent(ticket.number(), ticket);
			if (known != null && !known.equals(ticket)) {
				this.faults.add("two tickets of number " + ticket.number());
			}
		}
	}

	/**
	 * Takes a filer's call in.
	 * @param filing the filing
	 * @param began when it was made
	 * @param ended when its outcome was heard
	 * @param outcome the outcome, empty if none came
	 */
	public void called(FilingIdentifier filing, Instant began, Instant ended, Optional<FilingOutcome> outcome) {
		this.calls.add(new Call(filing, began, ended, outcome));
	}

	/**
	 * Counts the accepted filings.
	 * @return how many calls ended as accepted
	 */
	public long accepted() {
		return this.calls.stream().filter((call) -> call.number() > 0).count();
	}

	/**
	 * Checks the whole history.
	 * @return every fault found
	 */
	public Set<String> faults() {
		checkLog();
		checkOutcomes();
		checkRealTime();
		return this.faults;
	}

	private void checkLog() {
		DesiredState truth = DesiredState.empty();
		Set<FilingIdentifier> filings = new HashSet<>();
		for (Ticket ticket : this.tickets.values()) {
			if (ticket.number() != truth.number() + 1) {
				this.faults.add("a gap before ticket " + ticket.number());
				return;
			}
			if (!TicketValidator.validate(ticket.draft(), truth).faults().isEmpty()) {
				this.faults.add("ticket " + ticket.number() + " did not fit the truth before it");
			}
			if (!filings.add(ticket.draft().filing())) {
				this.faults.add("two tickets of " + ticket.draft().filing());
			}
			truth = truth.apply(ticket);
			if (this.truths.containsKey(ticket.number()) && !this.truths.get(ticket.number()).equals(truth)) {
				this.faults.add("the truth after ticket " + ticket.number() + " is not the log's");
			}
		}
	}

	private void checkOutcomes() {
		Set<FilingIdentifier> inLog = new HashSet<>();
		this.tickets.values().forEach((ticket) -> inLog.add(ticket.draft().filing()));
		Map<FilingIdentifier, Boolean> onlyRefused = new HashMap<>();
		for (Call call : this.calls) {
			boolean refused = call.outcome.isPresent() && call.outcome.get() instanceof FilingOutcome.Refused;
			onlyRefused.merge(call.filing, refused, Boolean::logicalAnd);
			if (call.number() > 0 && (!this.tickets.containsKey(call.number())
					|| !this.tickets.get(call.number()).draft().filing().equals(call.filing))) {
				this.faults.add(call.filing + " was accepted as " + call.number() + " and is not that ticket");
			}
		}
		onlyRefused.forEach((filing, refused) -> {
			if (refused && inLog.contains(filing)) {
				this.faults.add(filing + " was only ever refused and is in force");
			}
		});
	}

	private void checkRealTime() {
		Map<FilingIdentifier, Instant> firstCalls = new HashMap<>();
		for (Call call : this.calls) {
			firstCalls.merge(call.filing, call.began, (one, other) -> one.isBefore(other) ? one : other);
		}
		for (Call earlier : this.calls) {
			for (Call later : this.calls) {
				boolean after = firstCalls.get(later.filing).isAfter(earlier.ended);
				if (earlier.number() > 0 && later.number() > 0 && after && later.number() <= earlier.number()) {
					this.faults.add(later.filing + " was filed after " + earlier.number() + " was accepted and is "
							+ later.number());
				}
			}
		}
	}

	private record Call(FilingIdentifier filing, Instant began, Instant ended, Optional<FilingOutcome> outcome) {

		long number() {
			return (this.outcome.isPresent() && this.outcome.get() instanceof FilingOutcome.Accepted accepted)
					? accepted.number() : 0;
		}

	}

}
