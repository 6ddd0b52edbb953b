package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetIncarnation;

/**
 * The loss of one process of a target while it ran requests.
 *
 * @param target the process
 * @param seenAt when a request that the loss is held against was last seen
 * @param crashed whether the process has ended, rather than a path to it
 * @param runs the lost runs by the identifiers of their requests
 */
record TargetLoss(TargetIncarnation target, Instant seenAt, boolean crashed, Map<String, LostRun> runs) {

	/** Maximum number of requests kept for one process; some full batches. */
	private static final int MAXIMUM_RUNS = 64;

	TargetLoss {
		runs = Map.copyOf(runs);
	}

	static TargetLoss of(NodeMessage.TargetLost message, Instant now) {
		Map<String, LostRun> runs = message.requests()
			.stream()
			.limit(MAXIMUM_RUNS)
			.collect(Collectors.toMap(LostRequest::identifier, (request) -> LostRun.of(request, now), LostRun::merge));
		return new TargetLoss(message.target(), now.minus(message.unseenFor()), message.crashed(), runs);
	}

	/**
	 * Returns what other nodes have to know of this loss.
	 * @param sender name of this node
	 * @param hasBeenSound tells whether requests with a property ran before
	 * @param now the current time
	 * @return the message
	 */
	NodeMessage.TargetLost toMessage(String sender, Predicate<RequestTrait> hasBeenSound, Instant now) {
		Set<LostRequest> requests = this.runs.entrySet()
			.stream()
			.map((run) -> run.getValue().toRequest(run.getKey(), hasBeenSound, now))
			.collect(Collectors.toSet());
		return new NodeMessage.TargetLost(sender, this.target, Duration.between(this.seenAt, now), this.crashed,
				requests);
	}

	TargetLoss merge(TargetLoss other) {
		Map<String, LostRun> all = new HashMap<>(this.runs);
		other.runs.forEach((identifier, run) -> {
			if (all.containsKey(identifier) || all.size() < MAXIMUM_RUNS) {
				all.merge(identifier, run, LostRun::merge);
			}
		});
		return new TargetLoss(this.target, this.seenAt.isAfter(other.seenAt) ? this.seenAt : other.seenAt,
				this.crashed || other.crashed, all);
	}

	TargetLoss asCrash() {
		return new TargetLoss(this.target, this.seenAt, true, this.runs);
	}

	TargetLoss seen(Instant now) {
		return new TargetLoss(this.target, now, this.crashed, this.runs);
	}

	/**
	 * Returns this loss without the runs that were lost while the process lived on.
	 * @param aliveAt when the process was alive
	 * @return the loss of the later runs, whose cause is open; empty if there are none
	 */
	Optional<TargetLoss> lostAfter(Instant aliveAt) {
		Map<String, LostRun> later = new HashMap<>(this.runs);
		later.values().removeIf((run) -> run.lostAt().isBefore(aliveAt));
		if (later.size() == this.runs.size()) {
			return Optional.of(this);
		}
		return later.isEmpty() ? Optional.empty() : Optional.of(new TargetLoss(this.target, this.seenAt, false, later));
	}

	/**
	 * Returns this loss without properties that can't have caused it.
	 * @param sound returns a run without such properties
	 * @return the loss, possibly without any property
	 */
	TargetLoss withRuns(UnaryOperator<LostRun> sound) {
		Map<String, LostRun> left = new HashMap<>(this.runs);
		left.replaceAll((identifier, run) -> sound.apply(run));
		return new TargetLoss(this.target, this.seenAt, this.crashed, left);
	}

	Instant lostAt() {
		return this.runs.values().stream().map(LostRun::lostAt).min(Comparator.naturalOrder()).orElse(this.seenAt);
	}

	Set<RequestTrait> traits() {
		return this.runs.values().stream().flatMap((run) -> run.traits().stream()).collect(Collectors.toSet());
	}

	boolean hasRunWith(Set<RequestTrait> traits) {
		return this.runs.values().stream().anyMatch((run) -> run.traits().containsAll(traits));
	}

}
