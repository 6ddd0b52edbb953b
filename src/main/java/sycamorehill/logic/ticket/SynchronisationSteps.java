package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.model.ticket.TicketValue;

/**
 * Learns the tickets from the platform: the snapshot if there is no truth yet, then the
 * tickets from the node's own last one on.
 *
 * <p>
 * The list begins at the last ticket that the node has itself, the anchor. Guards against
 * two failures. A platform that came back older would let a new ticket take a number
 * again: the anchor is then missing and no snapshot reaches it. A node that was paused
 * while old tickets were deleted could fold a ticket that a late create put in the place
 * of a deleted one: deletion is announced in the snapshot first, so that with a missing
 * anchor the snapshot, read after the list, shows that the node has to take the snapshot
 * instead.
 */
final class SynchronisationSteps {

	private SynchronisationSteps() {
	}

	/**
	 * Begins a synchronisation, or asks for another after the present one.
	 * @param step the step under way
	 */
	static void start(TicketStep step) {
		if (step.sync().running() || !step.sync().budget().allows(step.now())) {
			step.set(step.sync().requestAnother());
			return;
		}
		step.set(step.sync().start());
		if (step.log().truth().isEmpty()) {
			readSnapshot(step);
		}
		else {
			listTickets(step);
		}
	}

	static void handleTickets(TicketStep step, PlatformAnswer answer) {
		if (!(answer instanceof PlatformAnswer.Listed found)) {
			handleFailure(step, answer);
			return;
		}
		List<Ticket> tickets = readableTickets(found.objects());
		if (tickets.size() < found.objects().size()) {
			step.log(LogEvent.TICKET_FORMAT_UNKNOWN, "behind ticket " + step.log().number());
		}
		boolean full = found.objects().size() >= step.policy().pageSize();
		step.set(step.sync().withPage(tickets, full, found.version()));
		if (matchesAnchor(step, tickets)) {
			applyListedTickets(step);
		}
		else {
			readSnapshot(step);
		}
	}

	static void handleSnapshot(TicketStep step, PlatformAnswer answer) {
		DesiredStateSnapshot snapshot = emptySnapshot();
		if (answer instanceof PlatformAnswer.Found found) {
			snapshot = (DesiredStateSnapshot) found.object().value();
		}
		else if (!(answer instanceof PlatformAnswer.Missing)) {
			handleFailure(step, answer);
			return;
		}
		if (snapshot.formatVersion() > TicketLog.FORMAT_VERSION) {
			step.log(LogEvent.TICKET_FORMAT_UNKNOWN, "snapshot at ticket " + snapshot.number());
			handleFailure(step, answer);
			return;
		}
		if (snapshot.number() < step.sync().anchor()) {
			handleOlderPlatform(step, snapshot.number());
		}
		else if (snapshot.number() == step.sync().anchor()) {
			applyListedTickets(step);
		}
		else {
			TicketLogUpdater.adopt(step, snapshot);
			listTickets(step);
		}
	}

	/**
	 * Keeps a watch open. Its answer only wakes: what it shows is read again by a
	 * synchronisation, which checks the anchor.
	 * @param step the step under way
	 */
	static void startWatch(TicketStep step) {
		Synchronisation sync = step.sync();
		boolean ready = !sync.watching() && !sync.running() && !sync.wanted() && sync.version() >= 0;
		if (!ready || step.now().isBefore(sync.nextWatch()) || !sync.budget().allows(step.now())) {
			return;
		}
		step.set(sync.withWatch(true, step.now().plus(step.policy().shortestWatch())));
		Duration wait = step.policy().watchWait();
		step.call(TicketCallPurpose.WATCH_TICKETS, new PlatformRequest.Watch(ObjectKind.TICKET, sync.version(), wait),
				wait.plus(step.policy().callTimeout()));
	}

	static void handleWatchAnswer(TicketStep step, PlatformAnswer answer) {
		step.set(step.sync().withWatch(false, step.sync().nextWatch()));
		if (!(answer instanceof PlatformAnswer.Listed found)) {
			handleFailure(step, answer);
		}
		else if (!found.objects().isEmpty() || found.version() < step.sync().version() || isOverdue(step)) {
			start(step);
		}
	}

	/**
	 * Takes in that a call of the synchronisation failed: the next one waits.
	 * @param step the step under way
	 * @param answer how it ended
	 */
	static void handleFailure(TicketStep step, PlatformAnswer answer) {
		Duration retryAfter = (answer instanceof PlatformAnswer.NotTaken notTaken) ? notTaken.retryAfter()
				: Duration.ZERO;
		Synchronisation sync = step.sync();
		step.set(sync.withBudget(sync.budget().recordFailure(step.now(), retryAfter))
			.finish(sync.behind(), sync.lastSuccess())
			.requestAnother());
		FilingSteps.handlePlatformFailure(step);
	}

	// Also without any change seen: a platform that came back older may have grown
	// past the version that this node waits for.
	private static boolean isOverdue(TicketStep step) {
		return step.sync().lastSuccess().plus(step.policy().longestUnsynchronised()).isBefore(step.now());
	}

	private static void readSnapshot(TicketStep step) {
		step.set(step.sync().withBudget(step.sync().budget().recordCall(step.now())));
		step.call(TicketCallPurpose.READ_SNAPSHOT, new PlatformRequest.Read(TicketObjectNames.SNAPSHOT));
	}

	private static void listTickets(TicketStep step) {
		step.set(step.sync().withBudget(step.sync().budget().recordCall(step.now())));
		long number = step.log().number();
		step.set(step.sync().startList(number));
		String after = (number > 0) ? TicketObjectNames.ticketName(number - 1) : "";
		step.call(TicketCallPurpose.LIST_TICKETS,
				new PlatformRequest.ListObjects(ObjectKind.TICKET, after, step.policy().pageSize()));
	}

	private static boolean matchesAnchor(TicketStep step, List<Ticket> tickets) {
		long number = step.sync().anchor();
		if (tickets.isEmpty() || tickets.get(0).number() != number) {
			return false;
		}
		return step.log()
			.ticket(number)
			.map((own) -> own.draft().filing().equals(tickets.get(0).draft().filing()))
			.orElse(true);
	}

	private static void applyListedTickets(TicketStep step) {
		long before = step.log().number();
		TicketLogUpdater.append(step, step.sync().listed(), TicketSource.PLATFORM);
		if (step.sync().pageFull() && step.log().number() > before) {
			listTickets(step);
			return;
		}
		if (step.sync().behind()) {
			step.log(LogEvent.PLATFORM_RESTORED, "ticket " + step.log().number());
		}
		step.set(step.sync().withBudget(step.sync().budget().recordSuccess()).finish(false, step.now()));
		FilingSteps.handleSynchronised(step);
		if (step.sync().wanted()) {
			start(step);
		}
	}

	private static void handleOlderPlatform(TicketStep step, long platformNumber) {
		if (!step.sync().behind()) {
			step.log(LogEvent.PLATFORM_CAME_BACK_OLDER,
					"this node has ticket " + step.sync().anchor() + ", the platform's snapshot is at " + platformNumber
							+ " and ticket " + step.sync().anchor() + " is gone or another");
		}
		step.set(step.sync().withBudget(step.sync().budget().recordSuccess()).finish(true, step.now()));
		FilingSteps.handleOlderPlatform(step);
	}

	private static DesiredStateSnapshot emptySnapshot() {
		return new DesiredStateSnapshot(0, List.of(), TicketLog.FORMAT_VERSION, 0, List.of());
	}

	private static List<Ticket> readableTickets(List<StoredObject> objects) {
		List<Ticket> tickets = new ArrayList<>();
		for (StoredObject object : objects) {
			TicketValue value = (TicketValue) object.value();
			if (value.formatVersion() > TicketLog.FORMAT_VERSION) {
				return tickets;
			}
			tickets.add(value.ticket());
		}
		return tickets;
	}

}
