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
 * Operators that wait for an answer of the decisions.
 */
public final class OperatorCalls implements OperatorPort {

	private final AtomicLong numbers = new AtomicLong();

	private final ConcurrentMap<OperatorCallIdentifier, CompletableFuture<FilingOutcome>> filings = new ConcurrentHashMap<>();

	private final ConcurrentMap<OperatorCallIdentifier, CompletableFuture<TicketRollout>> forces = new ConcurrentHashMap<>();

	private OperatorCalls() {
	}

	/**
	 * Creates an empty table.
	 * @return the table
	 */
	public static OperatorCalls create() {
		return new OperatorCalls();
	}

	OperatorCallIdentifier nextIdentifier() {
		return new OperatorCallIdentifier(this.numbers.incrementAndGet());
	}

	CompletableFuture<FilingOutcome> awaitFiling(OperatorCallIdentifier call) {
		return this.filings.computeIfAbsent(call, (key) -> new CompletableFuture<>());
	}

	CompletableFuture<TicketRollout> awaitForce(OperatorCallIdentifier call) {
		return this.forces.computeIfAbsent(call, (key) -> new CompletableFuture<>());
	}

	void forget(OperatorCallIdentifier call) {
		this.filings.remove(call);
		this.forces.remove(call);
	}

	@Override
	public void carryOut(OperatorEffect effect) {
		if (effect instanceof OperatorEffect.AnswerFiling answer) {
			CompletableFuture<FilingOutcome> waiting = this.filings.remove(answer.call());
			if (waiting != null) {
				waiting.complete(answer.outcome());
			}
		}
		else if (effect instanceof OperatorEffect.AnswerForce answer) {
			CompletableFuture<TicketRollout> waiting = this.forces.remove(answer.call());
			if (waiting != null) {
				waiting.complete(answer.rollout());
			}
		}
	}

}
