package sycamorehill.logic.ticket;

import java.time.Instant;
import java.util.List;

import sycamorehill.model.platform.StoredObject;

/**
 * Where the node stands in renewing the snapshot and deleting old tickets.
 *
 * @param running whether a call is under way
 * @param snapshotNumber the ticket of the last snapshot known to stand in the platform
 * @param writing the ticket of the snapshot that is being written
 * @param deletedUpTo tickets up to this number may be deleted, because a snapshot that
 * says so stands in the platform
 * @param deletions tickets that are to be deleted, the lowest first
 * @param notBefore the earliest time of the next attempt
 */
record Compaction(boolean running, long snapshotNumber, long writing, long deletedUpTo, List<StoredObject> deletions,
		Instant notBefore) {

	static Compaction initial() {
		return new Compaction(false, 0, 0, 0, List.of(), Instant.MIN);
	}

	Compaction start() {
		return new Compaction(true, this.snapshotNumber, 0, this.deletedUpTo, List.of(), this.notBefore);
	}

	Compaction startWrite(long number, long deletableUpTo) {
		return new Compaction(true, this.snapshotNumber, number, deletableUpTo, List.of(), this.notBefore);
	}

	Compaction withStoredSnapshot(long number, long deletableUpTo) {
		return new Compaction(this.running, number, 0, deletableUpTo, List.of(), this.notBefore);
	}

	Compaction withDeletions(List<StoredObject> objects) {
		return new Compaction(!objects.isEmpty(), this.snapshotNumber, 0, this.deletedUpTo, List.copyOf(objects),
				this.notBefore);
	}

	Compaction finish(Instant nextAttempt) {
		return new Compaction(false, this.snapshotNumber, 0, this.deletedUpTo, List.of(), nextAttempt);
	}

}
