package sycamorehill.operator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import sycamorehill.model.effect.OperatorEffect;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketRollout;
import sycamorehill.runtime.OperatorPort;

/**
 * Tracks the operator calls that wait for an answer of the decision logic.
 */
public final class PendingOperatorCalls implements OperatorPort {

	private final AtomicLong lastNumber = new AtomicLong();

	private final ConcurrentMap<OperatorCallIdentifier, CompletableFuture<FilingOutcome>> pendingFilings = new ConcurrentHashMap<>();

	private final ConcurrentMap<OperatorCallIdentifier, CompletableFuture<TicketRollout>> pendingRollouts = new ConcurrentHashMap<>();

	private PendingOperatorCalls() {
	}

	/**
	 * Creates an instance without pending calls.
	 * @return the new instance
	 */
	public static PendingOperatorCalls create() {
		return new PendingOperatorCalls();
	}

	OperatorCallIdentifier nextIdentifier() {
		return new OperatorCallIdentifier(this.lastNumber.incrementAndGet());
	}

	CompletableFuture<FilingOutcome> awaitFiling(OperatorCallIdentifier call) {
		return this.pendingFilings.computeIfAbsent(call, (key) -> new CompletableFuture<>());
	}

	CompletableFuture<TicketRollout> awaitRollout(OperatorCallIdentifier call) {
		return this.pendingRollouts.computeIfAbsent(call, (key) -> new CompletableFuture<>());
	}

	void remove(OperatorCallIdentifier call) {
		this.pendingFilings.remove(call);
		this.pendingRollouts.remove(call);
	}

	@Override
	public void carryOut(OperatorEffect effect) {
		if (effect instanceof OperatorEffect.AnswerFiling answer) {
			CompletableFuture<FilingOutcome> pending = this.pendingFilings.remove(answer.call());
			if (pending != null) {
				pending.complete(answer.outcome());
			}
		}
		else if (effect instanceof OperatorEffect.AnswerForce answer) {
			CompletableFuture<TicketRollout> pending = this.pendingRollouts.remove(answer.call());
			if (pending != null) {
				pending.complete(answer.rollout());
			}
		}
	}

}
