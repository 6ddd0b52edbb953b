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
 * Replaces the snapshot and deletes the tickets that it makes redundant. One node is
 * responsible, but the steps are safe if several nodes take them at once or a node takes
 * over from one that crashed midway: a conditional update replaces the snapshot, and only
 * by one with a higher number, and a ticket is deleted only after a snapshot that
 * announces its deletion is stored on the platform.
 *
 * <p>
 * The same writes repair a platform that was restored from an older backup: a snapshot at
 * the current number replaces all tickets up to that number.
 */
final class CompactionSteps {

	private static final Duration ATTEMPT_INTERVAL = Duration.ofSeconds(2);

	private CompactionSteps() {
	}

	static void handleTick(TicketStep step) {
		Compaction compaction = step.state().compaction();
		boolean due = step.log().number() - compaction.snapshotNumber() >= step.policy().snapshotEvery()
				|| step.sync().behind();
		if (!due || compaction.running() || step.now().isBefore(compaction.notBefore()) || step.sync().running()
				|| !step.sync().budget().allows(step.now()) || !isResponsible(step)) {
			return;
		}
		step.set(compaction.start());
		step.call(TicketCallPurpose.READ_OLD_SNAPSHOT, new PlatformRequest.Read(TicketObjectNames.SNAPSHOT));
	}

	static void handleOldSnapshot(TicketStep step, PlatformAnswer answer) {
		Compaction compaction = step.state().compaction();
		if (answer instanceof PlatformAnswer.Found found) {
			DesiredStateSnapshot oldSnapshot = (DesiredStateSnapshot) found.object().value();
			if (oldSnapshot.number() >= step.log().number()) {
				step.set(compaction.withStoredSnapshot(oldSnapshot.number(), oldSnapshot.deletedUpTo())
					.finish(step.now().plus(ATTEMPT_INTERVAL)));
				return;
			}
			writeSnapshot(step, oldSnapshot.deletedUpTo(), found.object());
		}
		else if (answer instanceof PlatformAnswer.Missing) {
			writeSnapshot(step, 0, null);
		}
		else {
			finish(step);
		}
	}

	static void handleSnapshotWritten(TicketStep step, PlatformAnswer answer) {
		Compaction compaction = step.state().compaction();
		if (!(answer instanceof PlatformAnswer.Written)) {
			finish(step);
			return;
		}
		step.log(LogEvent.SNAPSHOT_WRITTEN, "ticket " + compaction.writing());
		step.set(compaction.withStoredSnapshot(compaction.writing(), compaction.deletedUpTo()));
		if (step.sync().behind()) {
			SynchronisationSteps.start(step);
		}
		step.call(TicketCallPurpose.LIST_OLD_TICKETS,
				new PlatformRequest.ListObjects(ObjectKind.TICKET, "", step.policy().pageSize()));
	}

	static void handleOldTickets(TicketStep step, PlatformAnswer answer) {
		if (!(answer instanceof PlatformAnswer.Listed listed)) {
			finish(step);
			return;
		}
		long deletableUpTo = step.state().compaction().deletedUpTo();
		List<StoredObject> oldTickets = listed.objects()
			.stream()
			.filter((object) -> ((TicketValue) object.value()).ticket().number() <= deletableUpTo)
			.toList();
		step.set(step.state().compaction().withDeletions(oldTickets));
		deleteNext(step);
	}

	/**
	 * Continues after a deletion. A conflict means that another node deleted the ticket.
	 * @param step the current step
	 * @param answer the answer to the deletion
	 */
	static void handleTicketDeleted(TicketStep step, PlatformAnswer answer) {
		List<StoredObject> remaining = step.state().compaction().deletions();
		boolean deleted = answer instanceof PlatformAnswer.Written || answer instanceof PlatformAnswer.Conflict
				|| answer instanceof PlatformAnswer.Missing;
		if (!deleted || remaining.isEmpty()) {
			finish(step);
			return;
		}
		step.set(step.state().compaction().withDeletions(remaining.subList(1, remaining.size())));
		deleteNext(step);
	}

	private static void deleteNext(TicketStep step) {
		List<StoredObject> remaining = step.state().compaction().deletions();
		if (remaining.isEmpty()) {
			finish(step);
			return;
		}
		StoredObject next = remaining.get(0);
		step.call(TicketCallPurpose.DELETE_TICKET, new PlatformRequest.Delete(next.key(), next.version()));
	}

	private static void writeSnapshot(TicketStep step, long announcedUpTo, StoredObject storedSnapshot) {
		long number = step.log().number();
		long deletableUpTo = step.sync().behind() ? number
				: Math.max(announcedUpTo, number - step.policy().keptTickets());
		step.set(step.state().compaction().startWrite(number, deletableUpTo));
		DesiredStateSnapshot snapshot = step.log().snapshot(deletableUpTo);
		PlatformRequest request = (storedSnapshot != null)
				? new PlatformRequest.Update(TicketObjectNames.SNAPSHOT, snapshot, storedSnapshot.version())
				: new PlatformRequest.Create(TicketObjectNames.SNAPSHOT, snapshot);
		step.call(TicketCallPurpose.WRITE_SNAPSHOT, request);
	}

	private static void finish(TicketStep step) {
		step.set(step.state().compaction().finish(step.now().plus(ATTEMPT_INTERVAL)));
	}

	private static boolean isResponsible(TicketStep step) {
		List<LiveNode> nodes = step.view()
			.liveNodes()
			.nodes()
			.values()
			.stream()
			.filter((node) -> !node.stopping())
			.toList();
		return Delegates.of(nodes, 1).stream().anyMatch((node) -> node.identity().equals(step.view().self()));
	}

}
