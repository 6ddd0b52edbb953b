package sycamorehill.logic.ticket;

import java.time.Instant;
import java.util.List;

import sycamorehill.model.platform.StoredObject;

/**
 * The progress of this node in replacing the snapshot and deleting old tickets.
 *
 * @param running whether a compaction is in progress
 * @param snapshotNumber the ticket number of the latest snapshot known to be stored on
 * the platform
 * @param writing the ticket number of the snapshot that is being written, 0 for none
 * @param deletedUpTo the number up to which tickets may be deleted once the snapshot that
 * announces it is stored on the platform
 * @param deletions the tickets that remain to be deleted, lowest number first
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
