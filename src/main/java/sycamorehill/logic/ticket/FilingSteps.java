package sycamorehill.logic.ticket;

import java.util.List;
import java.util.Optional;

import org.pcollections.PVector;

import sycamorehill.model.effect.OperatorEffect;
import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.model.ticket.TicketValue;

/**
 * Takes filings to their outcome, one after the other: synchronise, validate against what
 * the platform has right now, create the next number, and synchronise again. What the
 * second synchronisation folds in decides, not the answer of the create: so a lost
 * answer, a lost race and a create in the place of a deleted ticket all end in the same
 * check, whether the filing's identifier stands in the folded log.
 */
final class FilingSteps {

	private static final int FAILURES_OF_AN_OUTAGE = 3;

	private FilingSteps() {
	}

	static void filed(TicketTurn turn, OperatorEvent.TicketFiled event) {
		String mark = turn.view().self().incarnation() + "-f" + event.call().number();
		Filing filing = Filing.of(event.call(), event.draft(), mark, turn.now().plus(turn.policy().filingPatience()),
				turn.sync().begun());
		turn.set(turn.state().withFilings(turn.state().filings().plus(filing)));
		if (event.draft().filing() == null) {
			refuseUnnamed(turn, event);
			return;
		}
		if (outage(turn)) {
			platformFailed(turn);
		}
		SynchronisationSteps.begin(turn);
	}

	/**
	 * Goes on with the filings after a synchronisation that began after them.
	 * @param turn the step under way
	 */
	static void synchronised(TicketTurn turn) {
		boolean settled = true;
		while (settled && !turn.state().filings().isEmpty()) {
			settled = turn.state().filings().get(0).synchronisation() <= turn.sync().begun() && !creating(turn)
					&& settle(turn);
		}
	}

	static void created(TicketTurn turn, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.NotTaken notTaken) {
			turn.set(turn.sync().withBudget(turn.sync().budget().failed(turn.now(), notTaken.retryAfter())));
		}
		if (!turn.state().filings().isEmpty() && turn.state().filings().get(0).attempts() > 0) {
			Filing filing = turn.state().filings().get(0);
			// The first create under a number that was not taken left no doubt. After a
			// second one there is: the first may still be under way.
			boolean certain = answer instanceof PlatformAnswer.NotTaken && filing.attempts() == 1;
			replaceFirst(turn, (certain ? filing.certain() : filing).after(turn.sync().begun()));
		}
		SynchronisationSteps.begin(turn);
	}

	/**
	 * Takes in that the platform failed. A single lost call is tried again; in an outage
	 * a filer that nothing was written for is told so at once.
	 * @param turn the step under way
	 */
	static void platformFailed(TicketTurn turn) {
		while (outage(turn) && !turn.state().filings().isEmpty() && !turn.state().filings().get(0).doubtful()) {
			answer(turn, new FilingOutcome.Refused(
					List.of("the platform can't be reached from data centre " + turn.view().self().dataCentre()
							+ ": this call wrote nothing; file again later, or through a data centre that reaches it"),
					List.of()));
		}
	}

	static void platformOlder(TicketTurn turn) {
		while (!turn.state().filings().isEmpty()) {
			String detail = "the platform came back older than ticket " + turn.log().number()
					+ ", which stays in force: nothing is accepted until it is restored";
			FilingOutcome outcome = turn.state().filings().get(0).doubtful() ? new FilingOutcome.NotKnown(detail)
					: new FilingOutcome.Refused(List.of(detail), List.of());
			answer(turn, outcome);
		}
	}

	static void ticked(TicketTurn turn) {
		while (!turn.state().filings().isEmpty() && !turn.now().isBefore(turn.state().filings().get(0).until())) {
			if (turn.state().filings().get(0).doubtful()) {
				answer(turn, new FilingOutcome.NotKnown(
						"the platform did not confirm: file again with the same filing identifier"));
			}
			else {
				answer(turn, new FilingOutcome.Refused(
						List.of("the platform answered too slowly: this call wrote nothing; file again"), List.of()));
			}
		}
	}

	// Without an identifier neither a lost answer nor a second filing could be told from
	// another ticket.
	private static void refuseUnnamed(TicketTurn turn, OperatorEvent.TicketFiled event) {
		PVector<Filing> others = turn.state().filings();
		turn.set(turn.state().withFilings(others.minus(others.size() - 1)));
		turn.add(new OperatorEffect.AnswerFiling(event.call(),
				new FilingOutcome.Refused(List.of("filing: a filing identifier is needed"), List.of())));
	}

	private static boolean settle(TicketTurn turn) {
		Filing filing = turn.state().filings().get(0);
		Optional<Long> known = turn.log().accepted(filing.draft().filing());
		if (known.isPresent()) {
			answer(turn, known(turn, filing, known.get()));
			return true;
		}
		if (SpreadSteps.peersAhead(turn)) {
			// A peer's ticket that the platform does not show must not have its number
			// given away again: wait until it is learnt.
			turn.set(turn.sync().want());
			replaceFirst(turn, filing.after(turn.sync().begun()));
			return false;
		}
		if (filing.doubtful() && turn.log().number() < filing.number()) {
			create(turn, filing);
			return false;
		}
		ValidationResult result = TicketValidator.validate(filing.draft(), turn.log().truth().get());
		if (!result.faults().isEmpty()) {
			answer(turn, new FilingOutcome.Refused(result.faults(), result.presentItems()));
			return true;
		}
		if (filing.attempts() >= turn.policy().filingAttempts()) {
			answer(turn,
					new FilingOutcome.Refused(
							List.of("other tickets were accepted first " + filing.attempts() + " times: file again"),
							List.of()));
			return true;
		}
		create(turn, filing);
		return false;
	}

	private static FilingOutcome known(TicketTurn turn, Filing filing, long number) {
		boolean other = turn.log()
			.ticket(number)
			.map((ticket) -> !ticket.draft().changes().equals(filing.draft().changes()))
			.orElse(false);
		if (other) {
			return new FilingOutcome.Refused(List.of("the filing identifier " + filing.draft().filing()
					+ " has become ticket " + number + " with other changes: choose a new one"), List.of());
		}
		return new FilingOutcome.Accepted(number);
	}

	private static void create(TicketTurn turn, Filing filing) {
		long number = turn.log().number() + 1;
		replaceFirst(turn, filing.creating(number));
		Ticket ticket = new Ticket(number, turn.state().wallClock(), filing.draft());
		turn.call(TicketCall.CREATE_TICKET, new PlatformRequest.Create(TicketNames.ticket(number),
				new TicketValue(ticket, filing.mark(), TruthLog.FORMAT_VERSION)));
	}

	private static boolean outage(TicketTurn turn) {
		return turn.sync().budget().failures() >= FAILURES_OF_AN_OUTAGE;
	}

	private static boolean creating(TicketTurn turn) {
		return turn.state().calls().containsValue(TicketCall.CREATE_TICKET);
	}

	private static void replaceFirst(TicketTurn turn, Filing filing) {
		turn.set(turn.state().withFilings(turn.state().filings().with(0, filing)));
	}

	private static void answer(TicketTurn turn, FilingOutcome outcome) {
		Filing filing = turn.state().filings().get(0);
		turn.set(turn.state().withFilings(turn.state().filings().minus(0)));
		turn.log(LogEvent.FILING_ANSWERED, filing.draft().filing() + ": " + outcome);
		turn.add(new OperatorEffect.AnswerFiling(filing.call(), outcome));
	}

}
