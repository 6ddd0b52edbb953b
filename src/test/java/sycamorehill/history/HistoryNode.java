package sycamorehill.history;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import sycamorehill.experiment.RequestPathNode;
import sycamorehill.logic.request.FrameDecision;
import sycamorehill.logic.request.FrameStatus;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.AttemptResult;

/**
 * One life of a node: its decisions, and what its traffic threads do.
 */
final class HistoryNode {

	final RequestPathNode logic;

	final Map<RequestIdentifier, CallerRecord> callers = new LinkedHashMap<>();

	private final HistoryWorld world;

	private final Map<AttemptIdentifier, CallerRecord> attempts = new HashMap<>();

	private final Map<AttemptIdentifier, FakeTarget> targets = new HashMap<>();

	private final Deque<Runnable> whilePaused = new ArrayDeque<>();

	private boolean paused;

	private boolean dead;

	HistoryNode(HistoryWorld world, RequestPathNode logic) {
		this.world = world;
		this.logic = logic;
	}

	NodeIdentity identity() {
		return this.logic.self();
	}

	void pause(Duration time) {
		this.paused = true;
		this.world.at(time, this::goOn);
	}

	private void goOn() {
		this.paused = false;
		while (!this.whilePaused.isEmpty()) {
			this.whilePaused.poll().run();
		}
	}

	void die() {
		this.dead = true;
		this.callers.values().forEach((caller) -> caller.nodeDied = caller.open());
	}

	void accept(CallerRecord caller) {
		this.callers.put(caller.request.identifier(), caller);
		feed(new RequestEvent.Arrived(caller.request));
		feed(new RequestEvent.Cleared(caller.request, caller.handling));
	}

	void feed(Event event) {
		run(() -> this.logic.feed(this.world.now(), event).forEach(this::carryOut));
	}

	private void run(Runnable action) {
		if (this.dead) {
			return;
		}
		if (this.paused) {
			this.whilePaused.add(action);
			return;
		}
		action.run();
	}

	private void carryOut(Effect effect) {
		if (effect instanceof RequestEffect.StartAttempt start) {
			start(start);
		}
		else if (effect instanceof RequestEffect.CancelAttempt cancel) {
			drop(cancel.attempt());
		}
		else if (effect instanceof RequestEffect.FinishRequest finish) {
			this.callers.get(finish.request()).outcomes.add(finish.outcome());
		}
		else if (effect instanceof PeerEffect.Send send) {
			this.world.message(send.to(), new PeerEvent.MessageReceived(identity(), send.message()));
		}
	}

	private void start(RequestEffect.StartAttempt start) {
		CallerRecord caller = this.callers.get(start.request());
		AttemptIdentifier attempt = start.attempt();
		caller.relay = caller.relay.startAttempt(attempt);
		caller.lastByteAt = this.world.now();
		FakeTarget target = this.world.target(start.target().name());
		this.attempts.put(attempt, caller);
		this.targets.put(attempt, target);
		int resumeFrom = caller.relay.nextIndex();
		this.world.later(() -> target.take(this, caller, attempt, resumeFrom));
		this.world.at(start.readTimeout(), () -> checkStall(attempt, start.readTimeout()));
	}

	private void checkStall(AttemptIdentifier attempt, Duration patience) {
		CallerRecord caller = this.attempts.get(attempt);
		if (caller == null) {
			return;
		}
		Duration silent = Duration.between(caller.lastByteAt, this.world.now());
		if (silent.compareTo(patience) >= 0) {
			ended(attempt, new AttemptResult.Interrupted(false, "nothing came"));
		}
		else {
			this.world.at(patience.minus(silent), () -> checkStall(attempt, patience));
		}
	}

	void token(AttemptIdentifier attempt, int index, String token) {
		run(() -> relay(attempt, index, token));
	}

	private void relay(AttemptIdentifier attempt, int index, String token) {
		CallerRecord caller = callerOf(attempt);
		if (caller == null) {
			return;
		}
		FrameDecision decision = caller.relay.acceptToken(attempt, index);
		caller.relay = decision.relay();
		if (decision.status() == FrameStatus.DELIVER) {
			caller.foreign |= !this.attempts.containsKey(attempt);
			caller.tokens.add(token);
			caller.lastByteAt = this.world.now();
			if (index == 0) {
				feed(new RequestEvent.FirstToken(attempt));
			}
		}
		else if (decision.status() == FrameStatus.GAP) {
			ended(attempt, new AttemptResult.Interrupted(false, "a token is missing"));
		}
	}

	void endMark(AttemptIdentifier attempt, int tokens) {
		run(() -> end(attempt, tokens));
	}

	private void end(AttemptIdentifier attempt, int tokens) {
		CallerRecord caller = callerOf(attempt);
		if (caller == null) {
			return;
		}
		FrameStatus verdict = caller.relay.acceptEndMark(attempt, tokens).status();
		if (verdict == FrameStatus.COMPLETE) {
			ended(attempt, new AttemptResult.Completed(tokens, Optional.empty()));
		}
		else if (verdict == FrameStatus.TRUNCATED) {
			ended(attempt, new AttemptResult.Interrupted(false, "the end came too early"));
		}
	}

	// The traffic thread knows the attempt of a frame, also one that was given up: the
	// relay
	// decides.
	private CallerRecord callerOf(AttemptIdentifier attempt) {
		CallerRecord present = this.attempts.get(attempt);
		return (present != null) ? present : this.world.ownerOf(attempt);
	}

	void ended(AttemptIdentifier attempt, AttemptResult result) {
		run(() -> {
			CallerRecord caller = this.attempts.get(attempt);
			if (caller == null) {
				return;
			}
			int delivered = caller.tokens.size();
			drop(attempt);
			feed(new RequestEvent.AttemptEnded(attempt, delivered, result));
		});
	}

	private void drop(AttemptIdentifier attempt) {
		CallerRecord caller = this.attempts.remove(attempt);
		if (caller != null) {
			this.world.remember(attempt, caller);
			caller.relay = caller.relay.endAttempt(attempt);
			this.world.later(() -> this.targets.get(attempt).cancel(attempt));
		}
	}

}
