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
record Progress(TreePMap<Long, Instant> reached, PMap<NodeName, Instant> lost, PMap<Long, ForceQuestion> questions) {

	private static final int MOST_REACHED = 500;

	static Progress none() {
		return new Progress(TreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());
	}

	Progress reached(long number, Instant wallClock) {
		if (number < 0 || (!this.reached.isEmpty() && this.reached.lastKey() >= number)) {
			return this;
		}
		TreePMap<Long, Instant> changed = this.reached.plus(number, wallClock);
		if (changed.size() > MOST_REACHED) {
			changed = changed.minus(changed.firstKey());
		}
		return new Progress(changed, this.lost, this.questions);
	}

	Optional<Instant> since(long number) {
		Map.Entry<Long, Instant> entry = this.reached.ceilingEntry(number);
		return Optional.ofNullable(entry).map(Map.Entry::getValue);
	}

	Progress withLost(PMap<NodeName, Instant> changed) {
		return new Progress(this.reached, changed, this.questions);
	}

	Progress withQuestions(PMap<Long, ForceQuestion> changed) {
		return new Progress(this.reached, this.lost, changed);
	}

}
