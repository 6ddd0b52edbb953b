package sycamorehill.history;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.target.ServingTarget;

/**
 * A target that runs what it is sent, and dies of content that begins with poison.
 */
final class FakeTarget {

	static final String POISON = "poison";

	private static final Duration TOKEN_GAP = Duration.ofMillis(20);

	private static final Duration RESTART = Duration.ofSeconds(8);

	private static final Duration CRASH_AFTER = Duration.ofMillis(80);

	final ServingTarget serving;

	final Map<RequestIdentifier, Integer> runs = new HashMap<>();

	final List<String> deaths = new ArrayList<>();

	private final HistoryWorld world;

	private final Map<AttemptIdentifier, HistoryNode> running = new LinkedHashMap<>();

	private final Set<AttemptIdentifier> cancelled = new HashSet<>();

	private Instant downUntil = Instant.EPOCH;

	FakeTarget(HistoryWorld world, ServingTarget serving) {
		this.world = world;
		this.serving = serving;
	}

	void take(HistoryNode node, CallerRecord caller, AttemptIdentifier attempt, int resumeFrom) {
		if (this.world.now().isBefore(this.downUntil)) {
			this.world.later(() -> node.ended(attempt, new AttemptResult.NotSent("refused")));
			return;
		}
		if (this.world.draw(this.world.faults().refusal())) {
			AttemptResult refused = new AttemptResult.RefusedBeforeRunning(false, Duration.ZERO, "full");
			this.world.later(() -> node.ended(attempt, refused));
			return;
		}
		this.runs.merge(caller.request.identifier(), 1, Integer::sum);
		this.running.put(attempt, node);
		if (caller.content().startsWith(POISON)) {
			this.world.at(CRASH_AFTER, () -> crash(attempt, caller.content()));
			return;
		}
		if (this.world.draw(this.world.faults().lostConnection())) {
			this.world.at(TOKEN_GAP.multipliedBy(3),
					() -> node.ended(attempt, new AttemptResult.Interrupted(true, "reset")));
		}
		if (caller.handling == Idempotency.REPEATABLE) {
			stream(node, caller.content(), attempt, resumeFrom);
		}
		else {
			this.world.frame(TOKEN_GAP, () -> node.ended(attempt, answer(caller.content())));
		}
	}

	void cancel(AttemptIdentifier attempt) {
		this.cancelled.add(attempt);
		this.running.remove(attempt);
	}

	private AttemptResult answer(String content) {
		return new AttemptResult.Completed(0, Optional.of(new RecordedAnswer(200, "text/plain", content)));
	}

	private void stream(HistoryNode node, String content, AttemptIdentifier attempt, int index) {
		if (this.cancelled.contains(attempt) || !this.running.containsKey(attempt)) {
			return;
		}
		if (index == CallerRecord.TOKENS) {
			this.running.remove(attempt);
			this.world.frame(TOKEN_GAP, () -> node.endMark(attempt, CallerRecord.TOKENS));
			return;
		}
		this.world.frame(TOKEN_GAP, () -> node.token(attempt, index, CallerRecord.token(content, index)));
		this.world.at(TOKEN_GAP, () -> stream(node, content, attempt, index + 1));
	}

	private void crash(AttemptIdentifier attempt, String content) {
		if (!this.running.containsKey(attempt)) {
			return;
		}
		this.deaths.add(content);
		this.downUntil = this.world.now().plus(RESTART);
		Map<AttemptIdentifier, HistoryNode> broken = new LinkedHashMap<>(this.running);
		this.running.clear();
		broken.forEach((other, node) -> this.world
			.later(() -> node.ended(other, new AttemptResult.Interrupted(true, "connection reset"))));
	}

}
