package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.List;

import sycamorehill.logic.membership.Delegates;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.TicketValue;

/**
 * Renews the snapshot and deletes tickets that it made superfluous. One node has the
 * duty, but any may do it, two at once or one after another that died midway: the
 * snapshot is replaced by conditional update and only by a higher one, and a ticket is
 * deleted only after a snapshot that announces its deletion stands in the platform.
 *
 * <p>
 * The same writes restore a platform that came back older: a snapshot at the present
 * number takes the place of all tickets up to it.
 */
final class CompactionSteps {

	private static final Duration PAUSE = Duration.ofSeconds(2);

	private CompactionSteps() {
	}

	static void ticked(TicketTurn turn) {
		Compaction compaction = turn.state().compaction();
		boolean due = turn.log().number() - compaction.snapshotNumber() >= turn.policy().snapshotEvery()
				|| turn.sync().behind();
		if (!due || compaction.running() || turn.now().isBefore(compaction.notBefore()) || turn.sync().running()
				|| !turn.sync().budget().allows(turn.now()) || !onDuty(turn)) {
			return;
		}
		turn.set(compaction.begin());
		turn.call(TicketCall.READ_OLD_SNAPSHOT, new PlatformRequest.Read(TicketNames.SNAPSHOT));
	}

	static void oldSnapshotRead(TicketTurn turn, PlatformAnswer answer) {
		Compaction compaction = turn.state().compaction();
		if (answer instanceof PlatformAnswer.Found found) {
			DesiredStateSnapshot old = (DesiredStateSnapshot) found.object().value();
			if (old.number() >= turn.log().number()) {
				turn.set(compaction.stands(old.number(), old.deletedUpTo()).end(turn.now().plus(PAUSE)));
				return;
			}
			write(turn, old.deletedUpTo(), found.object());
		}
		else if (answer instanceof PlatformAnswer.Missing) {
			write(turn, 0, null);
		}
		else {
			stop(turn);
		}
	}

	static void snapshotWritten(TicketTurn turn, PlatformAnswer answer) {
		Compaction compaction = turn.state().compaction();
		if (!(answer instanceof PlatformAnswer.Written)) {
			stop(turn);
			return;
		}
		turn.log(LogEvent.SNAPSHOT_WRITTEN, "ticket " + compaction.writing());
		turn.set(compaction.stands(compaction.writing(), compaction.deletedUpTo()));
		if (turn.sync().behind()) {
			SynchronisationSteps.begin(turn);
		}
		turn.call(TicketCall.LIST_OLD_TICKETS,
				new PlatformRequest.ListObjects(ObjectKind.TICKET, "", turn.policy().pageSize()));
	}

	static void oldTicketsListed(TicketTurn turn, PlatformAnswer answer) {
		if (!(answer instanceof PlatformAnswer.Listed listed)) {
			stop(turn);
			return;
		}
		long floor = turn.state().compaction().deletedUpTo();
		List<StoredObject> old = listed.objects()
			.stream()
			.filter((object) -> ((TicketValue) object.value()).ticket().number() <= floor)
			.toList();
		turn.set(turn.state().compaction().delete(old));
		deleteNext(turn);
	}

	/**
	 * Goes on after a deletion. A conflict means that another node deleted the ticket.
	 * @param turn the step under way
	 * @param answer how the deletion ended
	 */
	static void ticketDeleted(TicketTurn turn, PlatformAnswer answer) {
		List<StoredObject> left = turn.state().compaction().deletions();
		boolean gone = answer instanceof PlatformAnswer.Written || answer instanceof PlatformAnswer.Conflict
				|| answer instanceof PlatformAnswer.Missing;
		if (!gone || left.isEmpty()) {
			stop(turn);
			return;
		}
		turn.set(turn.state().compaction().delete(left.subList(1, left.size())));
		deleteNext(turn);
	}

	private static void deleteNext(TicketTurn turn) {
		List<StoredObject> left = turn.state().compaction().deletions();
		if (left.isEmpty()) {
			stop(turn);
			return;
		}
		StoredObject next = left.get(0);
		turn.call(TicketCall.DELETE_TICKET, new PlatformRequest.Delete(next.key(), next.version()));
	}

	private static void write(TicketTurn turn, long oldFloor, StoredObject old) {
		long number = turn.log().number();
		long floor = turn.sync().behind() ? number : Math.max(oldFloor, number - turn.policy().keptTickets());
		turn.set(turn.state().compaction().write(number, floor));
		DesiredStateSnapshot snapshot = turn.log().snapshot(floor);
		PlatformRequest request = (old != null)
				? new PlatformRequest.Update(TicketNames.SNAPSHOT, snapshot, old.version())
				: new PlatformRequest.Create(TicketNames.SNAPSHOT, snapshot);
		turn.call(TicketCall.WRITE_SNAPSHOT, request);
	}

	private static void stop(TicketTurn turn) {
		turn.set(turn.state().compaction().end(turn.now().plus(PAUSE)));
	}

	private static boolean onDuty(TicketTurn turn) {
		List<LiveNode> nodes = turn.view()
			.liveNodes()
			.nodes()
			.values()
			.stream()
			.filter((node) -> !node.stopping())
			.toList();
		return Delegates.of(nodes, 1).stream().anyMatch((node) -> node.identity().equals(turn.view().self()));
	}

}
