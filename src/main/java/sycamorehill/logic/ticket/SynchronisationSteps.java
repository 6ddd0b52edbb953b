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
 * Reads tickets from the platform: the snapshot if this node has no desired state yet,
 * then the tickets from the last one of this node onwards.
 *
 * <p>
 * The list starts at the last ticket of this node, the anchor, which protects against two
 * failures. First, a platform that was restored from an older backup would let a new
 * ticket reuse a number. In this case the anchor is missing and no snapshot covers it.
 * Second, a node that was paused while old tickets were deleted could apply a ticket that
 * a delayed create call stored under a deleted number. Deletions are announced in the
 * snapshot before they happen. If the anchor is missing, the node therefore reads the
 * snapshot after the list and adopts it if it is newer.
 */
final class SynchronisationSteps {

	private SynchronisationSteps() {
	}

	/**
	 * Starts a synchronisation, or requests one for later if one is in progress or the
	 * budget allows no call.
	 * @param step the current step
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
			step.log(LogEvent.TICKET_FORMAT_UNKNOWN, "after ticket " + step.log().number());
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
	 * Opens a watch if none is open. Its answer only triggers a synchronisation, which
	 * reads the tickets again and checks the anchor.
	 * @param step the current step
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
	 * Handles a failed call of a synchronisation or a watch. The next call waits for the
	 * backoff.
	 * @param step the current step
	 * @param answer the answer to the call
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

	// Forces a synchronisation even if the watch shows no change: a platform restored
	// from an older backup may already be past the version that this node waits for.
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
							+ " and ticket " + step.sync().anchor() + " is missing or has a different filing");
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
