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
	 * @param turn the step under way
	 */
	static void begin(TicketTurn turn) {
		if (turn.sync().running() || !turn.sync().budget().allows(turn.now())) {
			turn.set(turn.sync().want());
			return;
		}
		turn.set(turn.sync().begin());
		if (turn.log().truth().isEmpty()) {
			readSnapshot(turn);
		}
		else {
			list(turn);
		}
	}

	static void listed(TicketTurn turn, PlatformAnswer answer) {
		if (!(answer instanceof PlatformAnswer.Listed found)) {
			failed(turn, answer);
			return;
		}
		List<Ticket> tickets = tickets(found.objects());
		if (tickets.size() < found.objects().size()) {
			turn.log(LogEvent.TICKET_FORMAT_UNKNOWN, "behind ticket " + turn.log().number());
		}
		boolean full = found.objects().size() >= turn.policy().pageSize();
		turn.set(turn.sync().page(tickets, full, found.version()));
		if (anchored(turn, tickets)) {
			fold(turn);
		}
		else {
			readSnapshot(turn);
		}
	}

	static void snapshotRead(TicketTurn turn, PlatformAnswer answer) {
		DesiredStateSnapshot snapshot = emptySnapshot();
		if (answer instanceof PlatformAnswer.Found found) {
			snapshot = (DesiredStateSnapshot) found.object().value();
		}
		else if (!(answer instanceof PlatformAnswer.Missing)) {
			failed(turn, answer);
			return;
		}
		if (snapshot.formatVersion() > TruthLog.FORMAT_VERSION) {
			turn.log(LogEvent.TICKET_FORMAT_UNKNOWN, "snapshot at ticket " + snapshot.number());
			failed(turn, answer);
			return;
		}
		if (snapshot.number() < turn.sync().anchor()) {
			platformBehind(turn, snapshot.number());
		}
		else if (snapshot.number() == turn.sync().anchor()) {
			fold(turn);
		}
		else {
			Folding.adopt(turn, snapshot);
			list(turn);
		}
	}

	/**
	 * Keeps a watch open. Its answer only wakes: what it shows is read again by a
	 * synchronisation, which checks the anchor.
	 * @param turn the step under way
	 */
	static void watch(TicketTurn turn) {
		Synchronisation sync = turn.sync();
		boolean ready = !sync.watching() && !sync.running() && !sync.wanted() && sync.version() >= 0;
		if (!ready || turn.now().isBefore(sync.nextWatch()) || !sync.budget().allows(turn.now())) {
			return;
		}
		turn.set(sync.watch(true, turn.now().plus(turn.policy().shortestWatch())));
		Duration wait = turn.policy().watchWait();
		turn.call(TicketCall.WATCH_TICKETS, new PlatformRequest.Watch(ObjectKind.TICKET, sync.version(), wait),
				wait.plus(turn.policy().callTimeout()));
	}

	static void watched(TicketTurn turn, PlatformAnswer answer) {
		turn.set(turn.sync().watch(false, turn.sync().nextWatch()));
		if (!(answer instanceof PlatformAnswer.Listed found)) {
			failed(turn, answer);
		}
		else if (!found.objects().isEmpty() || found.version() < turn.sync().version() || overdue(turn)) {
			begin(turn);
		}
	}

	/**
	 * Takes in that a call of the synchronisation failed: the next one waits.
	 * @param turn the step under way
	 * @param answer how it ended
	 */
	static void failed(TicketTurn turn, PlatformAnswer answer) {
		Duration retryAfter = (answer instanceof PlatformAnswer.NotTaken notTaken) ? notTaken.retryAfter()
				: Duration.ZERO;
		Synchronisation sync = turn.sync();
		turn.set(sync.withBudget(sync.budget().failed(turn.now(), retryAfter))
			.end(sync.behind(), sync.lastSuccess())
			.want());
		FilingSteps.platformFailed(turn);
	}

	// Also without any change seen: a platform that came back older may have grown
	// past the version that this node waits for.
	private static boolean overdue(TicketTurn turn) {
		return turn.sync().lastSuccess().plus(turn.policy().longestUnsynchronised()).isBefore(turn.now());
	}

	private static void readSnapshot(TicketTurn turn) {
		turn.set(turn.sync().withBudget(turn.sync().budget().called(turn.now())));
		turn.call(TicketCall.READ_SNAPSHOT, new PlatformRequest.Read(TicketNames.SNAPSHOT));
	}

	private static void list(TicketTurn turn) {
		turn.set(turn.sync().withBudget(turn.sync().budget().called(turn.now())));
		long number = turn.log().number();
		turn.set(turn.sync().listing(number));
		String after = (number > 0) ? TicketNames.name(number - 1) : "";
		turn.call(TicketCall.LIST_TICKETS,
				new PlatformRequest.ListObjects(ObjectKind.TICKET, after, turn.policy().pageSize()));
	}

	private static boolean anchored(TicketTurn turn, List<Ticket> tickets) {
		long number = turn.sync().anchor();
		if (tickets.isEmpty() || tickets.get(0).number() != number) {
			return false;
		}
		return turn.log()
			.ticket(number)
			.map((own) -> own.draft().filing().equals(tickets.get(0).draft().filing()))
			.orElse(true);
	}

	private static void fold(TicketTurn turn) {
		long before = turn.log().number();
		Folding.append(turn, turn.sync().listed(), TicketSource.PLATFORM);
		if (turn.sync().pageFull() && turn.log().number() > before) {
			list(turn);
			return;
		}
		if (turn.sync().behind()) {
			turn.log(LogEvent.PLATFORM_RESTORED, "ticket " + turn.log().number());
		}
		turn.set(turn.sync().withBudget(turn.sync().budget().succeeded()).end(false, turn.now()));
		FilingSteps.synchronised(turn);
		if (turn.sync().wanted()) {
			begin(turn);
		}
	}

	private static void platformBehind(TicketTurn turn, long platformNumber) {
		if (!turn.sync().behind()) {
			turn.log(LogEvent.PLATFORM_CAME_BACK_OLDER,
					"this node has ticket " + turn.sync().anchor() + ", the platform's snapshot is at " + platformNumber
							+ " and ticket " + turn.sync().anchor() + " is gone or another");
		}
		turn.set(turn.sync().withBudget(turn.sync().budget().succeeded()).end(true, turn.now()));
		FilingSteps.platformOlder(turn);
	}

	private static DesiredStateSnapshot emptySnapshot() {
		return new DesiredStateSnapshot(0, List.of(), TruthLog.FORMAT_VERSION, 0, List.of());
	}

	private static List<Ticket> tickets(List<StoredObject> objects) {
		List<Ticket> tickets = new ArrayList<>();
		for (StoredObject object : objects) {
			TicketValue value = (TicketValue) object.value();
			if (value.formatVersion() > TruthLog.FORMAT_VERSION) {
				return tickets;
			}
			tickets.add(value.ticket());
		}
		return tickets;
	}

}
