package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.target.ServingTarget;

/**
 * A target that serves some requests at a time and queues the others, goes on with those
 * that were given up once it has begun them, and dies of poisonous content.
 */
final class ExperimentTarget {

	static final String POISON = "poison";

	private static final Duration CRASH_AFTER = Duration.ofMillis(80);

	private static final Duration RESTART = Duration.ofSeconds(8);

	private final ExperimentFleet fleet;

	private final ServingTarget serving;

	private final int slots;

	private final Deque<Work> queue = new ArrayDeque<>();

	private final Map<AttemptIdentifier, Work> running = new LinkedHashMap<>();

	private Instant downUntil = Instant.EPOCH;

	private int life;

	private int deaths;

	ExperimentTarget(ExperimentFleet fleet, ServingTarget serving, int slots) {
		this.fleet = fleet;
		this.serving = serving;
		this.slots = slots;
	}

	ServingTarget serving() {
		return this.serving;
	}

	int deaths() {
		return this.deaths;
	}

	void take(ExperimentNode node, AttemptIdentifier attempt, String content) {
		if (this.fleet.time().now().isBefore(this.downUntil)) {
			this.fleet.soon(() -> node.ended(attempt, new AttemptResult.NotSent("refused")));
			return;
		}
		this.queue.add(new Work(node, attempt, content));
		next();
	}

	private void next() {
		while (this.running.size() < this.slots && !this.queue.isEmpty()) {
			Work work = this.queue.poll();
			this.running.put(work.attempt(), work);
			int begunIn = this.life;
			if (work.content().startsWith(POISON)) {
				this.fleet.time().after(CRASH_AFTER, () -> crash(begunIn));
			}
			else {
				this.fleet.time().after(this.fleet.serviceTime(), () -> served(work, begunIn));
			}
		}
	}

	private void served(Work work, int begunIn) {
		if (begunIn != this.life) {
			return;
		}
		this.running.remove(work.attempt());
		this.fleet.soon(() -> work.node().ended(work.attempt(), new AttemptResult.Completed(1, Optional.empty())));
		next();
	}

	private void crash(int begunIn) {
		if (begunIn != this.life) {
			return;
		}
		this.life++;
		this.deaths++;
		this.downUntil = this.fleet.time().now().plus(RESTART);
		List<Work> lost = new ArrayList<>(this.running.values());
		lost.addAll(this.queue);
		this.running.clear();
		this.queue.clear();
		for (Work work : lost) {
			this.fleet
				.soon(() -> work.node().ended(work.attempt(), new AttemptResult.Interrupted(true, "connection reset")));
		}
	}

	private record Work(ExperimentNode node, AttemptIdentifier attempt, String content) {

	}

}
