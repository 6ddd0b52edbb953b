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
 * Processes filings one after the other: it synchronises, validates the filing against
 * the current state of the platform, creates the ticket with the next number, and
 * synchronises again. The outcome depends on the log after the second synchronisation,
 * not on the answer to the create call. A lost answer, a lost race and a create under the
 * number of a deleted ticket therefore need only one check: whether the log contains the
 * identifier of the filing.
 */
final class FilingSteps {

	private static final int OUTAGE_FAILURE_THRESHOLD = 3;

	private FilingSteps() {
	}

	static void handleFiling(TicketStep step, OperatorEvent.TicketFiled event) {
		String mark = step.view().self().incarnation() + "-f" + event.call().number();
		Filing filing = Filing.of(event.call(), event.draft(), mark, step.now().plus(step.policy().filingPatience()),
				step.sync().begun());
		step.set(step.state().withFilings(step.state().filings().plus(filing)));
		if (event.draft().filing() == null) {
			refuseWithoutIdentifier(step, event);
			return;
		}
		if (isOutage(step)) {
			handlePlatformFailure(step);
		}
		SynchronisationSteps.start(step);
	}

	/**
	 * Continues with the filings that waited for the synchronisation that has just ended.
	 * @param step the current step
	 */
	static void handleSynchronised(TicketStep step) {
		boolean answered = true;
		while (answered && !step.state().filings().isEmpty()) {
			answered = step.state().filings().get(0).synchronisation() <= step.sync().begun() && !isCreateOpen(step)
					&& processFirst(step);
		}
	}

	static void handleCreateAnswer(TicketStep step, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.NotTaken notTaken) {
			step.set(step.sync().withBudget(step.sync().budget().recordFailure(step.now(), notTaken.retryAfter())));
		}
		if (!step.state().filings().isEmpty() && step.state().filings().get(0).attempts() > 0) {
			Filing filing = step.state().filings().get(0);
			// A first create that the platform did not execute leaves no doubt. After a
			// second create, the first one may still be in transit.
			boolean certain = answer instanceof PlatformAnswer.NotTaken && filing.attempts() == 1;
			replaceFirst(step,
					(certain ? filing.withoutDoubt() : filing).awaitSynchronisationAfter(step.sync().begun()));
		}
		SynchronisationSteps.start(step);
	}

	/**
	 * Handles a failed platform call. After a single failure the call is retried. During
	 * an outage, filings for which nothing was written are refused immediately.
	 * @param step the current step
	 */
	static void handlePlatformFailure(TicketStep step) {
		while (isOutage(step) && !step.state().filings().isEmpty() && !step.state().filings().get(0).doubtful()) {
			answerFirst(step, new FilingOutcome.Refused(
					List.of("the platform can't be reached from data centre " + step.view().self().dataCentre()
							+ ": this call wrote nothing; file again later, or through a data centre that reaches it"),
					List.of()));
		}
	}

	static void handleOlderPlatform(TicketStep step) {
		while (!step.state().filings().isEmpty()) {
			String detail = "the platform came back older than ticket " + step.log().number()
					+ ", which stays in force: nothing is accepted until it is restored";
			FilingOutcome outcome = step.state().filings().get(0).doubtful() ? new FilingOutcome.NotKnown(detail)
					: new FilingOutcome.Refused(List.of(detail), List.of());
			answerFirst(step, outcome);
		}
	}

	static void expireFilings(TicketStep step) {
		while (!step.state().filings().isEmpty() && !step.now().isBefore(step.state().filings().get(0).until())) {
			if (step.state().filings().get(0).doubtful()) {
				answerFirst(step, new FilingOutcome.NotKnown(
						"the platform did not confirm: file again with the same filing identifier"));
			}
			else {
				answerFirst(step, new FilingOutcome.Refused(
						List.of("the platform answered too slowly: this call wrote nothing; file again"), List.of()));
			}
		}
	}

	// Without an identifier, a retry or a filing whose answer was lost could not be
	// distinguished from another ticket.
	private static void refuseWithoutIdentifier(TicketStep step, OperatorEvent.TicketFiled event) {
		PVector<Filing> filings = step.state().filings();
		step.set(step.state().withFilings(filings.minus(filings.size() - 1)));
		step.add(new OperatorEffect.AnswerFiling(event.call(),
				new FilingOutcome.Refused(List.of("filing: a filing identifier is needed"), List.of())));
	}

	private static boolean processFirst(TicketStep step) {
		Filing filing = step.state().filings().get(0);
		Optional<Long> acceptedNumber = step.log().acceptedNumber(filing.draft().filing());
		if (acceptedNumber.isPresent()) {
			answerFirst(step, outcomeOfAccepted(step, filing, acceptedNumber.get()));
			return true;
		}
		if (ReplicationSteps.isPeerAhead(step)) {
			// A peer has a ticket that the platform does not list. Its number must not be
			// assigned again, so the filing waits until this node has the ticket.
			step.set(step.sync().requestAnother());
			replaceFirst(step, filing.awaitSynchronisationAfter(step.sync().begun()));
			return false;
		}
		if (filing.doubtful() && step.log().number() < filing.number()) {
			createTicket(step, filing);
			return false;
		}
		ValidationResult result = TicketValidator.validate(filing.draft(), step.log().truth().get());
		if (!result.faults().isEmpty()) {
			answerFirst(step, new FilingOutcome.Refused(result.faults(), result.currentItems()));
			return true;
		}
		if (filing.attempts() >= step.policy().filingAttempts()) {
			answerFirst(step,
					new FilingOutcome.Refused(
							List.of("other tickets were accepted first " + filing.attempts() + " times: file again"),
							List.of()));
			return true;
		}
		createTicket(step, filing);
		return false;
	}

	private static FilingOutcome outcomeOfAccepted(TicketStep step, Filing filing, long number) {
		boolean otherChanges = step.log()
			.ticket(number)
			.map((ticket) -> !ticket.draft().changes().equals(filing.draft().changes()))
			.orElse(false);
		if (otherChanges) {
			return new FilingOutcome.Refused(List.of("the filing identifier " + filing.draft().filing()
					+ " has become ticket " + number + " with other changes: choose a new one"), List.of());
		}
		return new FilingOutcome.Accepted(number);
	}

	private static void createTicket(TicketStep step, Filing filing) {
		long number = step.log().number() + 1;
		replaceFirst(step, filing.startCreate(number));
		Ticket ticket = new Ticket(number, step.state().wallClock(), filing.draft());
		step.call(TicketCallPurpose.CREATE_TICKET, new PlatformRequest.Create(TicketObjectNames.ticketKey(number),
				new TicketValue(ticket, filing.mark(), TicketLog.FORMAT_VERSION)));
	}

	private static boolean isOutage(TicketStep step) {
		return step.sync().budget().failures() >= OUTAGE_FAILURE_THRESHOLD;
	}

	private static boolean isCreateOpen(TicketStep step) {
		return step.state().calls().containsValue(TicketCallPurpose.CREATE_TICKET);
	}

	private static void replaceFirst(TicketStep step, Filing filing) {
		step.set(step.state().withFilings(step.state().filings().with(0, filing)));
	}

	private static void answerFirst(TicketStep step, FilingOutcome outcome) {
		Filing filing = step.state().filings().get(0);
		step.set(step.state().withFilings(step.state().filings().minus(0)));
		step.log(LogEvent.FILING_ANSWERED, filing.draft().filing() + ": " + outcome);
		step.add(new OperatorEffect.AnswerFiling(filing.call(), outcome));
	}

}
