package sycamorehill.logic.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.serving.TargetChange;

/**
 * Keeps the last changes of targets, for nodes that have missed some of them and that the
 * store does not answer.
 */
final class RecentChanges {

	/** Number of changes that are kept; as many fit into one message. */
	private static final int MAXIMUM_CHANGES = 300;

	private final Deque<ChangeBatch> batches = new ArrayDeque<>();

	private int count;

	void add(ChangeBatch batch) {
		this.batches.addLast(batch);
		this.count += batch.changes().size();
		while (this.count > MAXIMUM_CHANGES) {
			this.count -= this.batches.removeFirst().changes().size();
		}
	}

	void clear() {
		this.batches.clear();
		this.count = 0;
	}

	/**
	 * Returns the changes after a revision.
	 * @param revision the revision
	 * @return the changes in order; empty if not all of them are kept
	 */
	Optional<List<TargetChange>> after(long revision) {
		if (this.batches.isEmpty() || this.batches.getFirst().since() > revision) {
			return Optional.empty();
		}
		return Optional.of(this.batches.stream()
			.filter((batch) -> batch.revision() > revision)
			.flatMap((batch) -> batch.changes().stream())
			.toList());
	}

}
