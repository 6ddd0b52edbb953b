package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.NodeName;

/**
 * The progress of the nodes of this node's data centre in applying tickets. It is known
 * from heartbeats alone and needs no writes to the platform.
 *
 * @param reached the wall-clock time at which all live nodes of the data centre were
 * first known to have applied a ticket or a later one, by the number of the ticket
 * @param lost the nodes that were considered dead and removed, with the monotonic time of
 * the removal
 * @param questions the queries of operators that wait for other data centres, by the
 * number of the operator's call
 */
record TicketProgress(TreePMap<Long, Instant> reached, PMap<NodeName, Instant> lost,
		PMap<Long, RolloutQuery> questions) {

	private static final int MAXIMUM_REACHED_TICKETS = 500;

	static TicketProgress empty() {
		return new TicketProgress(TreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());
	}

	TicketProgress withReached(long number, Instant wallClock) {
		if (number < 0 || (!this.reached.isEmpty() && this.reached.lastKey() >= number)) {
			return this;
		}
		TreePMap<Long, Instant> changed = this.reached.plus(number, wallClock);
		if (changed.size() > MAXIMUM_REACHED_TICKETS) {
			changed = changed.minus(changed.firstKey());
		}
		return new TicketProgress(changed, this.lost, this.questions);
	}

	Optional<Instant> reachedAt(long number) {
		Map.Entry<Long, Instant> entry = this.reached.ceilingEntry(number);
		return Optional.ofNullable(entry).map(Map.Entry::getValue);
	}

	TicketProgress withLost(PMap<NodeName, Instant> changed) {
		return new TicketProgress(this.reached, changed, this.questions);
	}

	TicketProgress withQuestions(PMap<Long, RolloutQuery> changed) {
		return new TicketProgress(this.reached, this.lost, changed);
	}

}
