package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.NodeName;

/**
 * How far the nodes of the own data centre are with the tickets, gathered from their
 * heartbeats alone: knowing it costs no write.
 *
 * @param reached when all live nodes of the data centre were first known to have a ticket
 * or a later one, by its number
 * @param lost nodes that were taken for dead, with when
 * @param questions operators' questions that wait for other data centres
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
