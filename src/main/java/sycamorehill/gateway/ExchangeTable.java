package sycamorehill.gateway;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.runtime.RequestPort;

/**
 * The exchanges that are open, by request and by attempt.
 */
final class ExchangeTable implements RequestPort {

	private static final int MOST_OPEN = 20_000;

	private final ConcurrentMap<RequestIdentifier, Exchange> open = new ConcurrentHashMap<>();

	private final ConcurrentMap<AttemptIdentifier, RequestIdentifier> attempts = new ConcurrentHashMap<>();

	private ExchangeTable() {
	}

	static ExchangeTable create() {
		return new ExchangeTable();
	}

	/**
	 * Whether no more exchange may be opened: bodies and answers are held in memory.
	 * @return whether the table is full
	 */
	boolean full() {
		return this.open.size() >= MOST_OPEN;
	}

	int size() {
		return this.open.size();
	}

	void open(RequestIdentifier request, Exchange exchange) {
		this.open.put(request, exchange);
	}

	void attemptOver(AttemptIdentifier attempt) {
		this.attempts.remove(attempt);
	}

	@Override
	public void carryOut(RequestEffect effect) {
		if (effect instanceof RequestEffect.StartAttempt start) {
			start(start);
		}
		else if (effect instanceof RequestEffect.CancelAttempt cancel) {
			cancel(cancel.attempt());
		}
		else if (effect instanceof RequestEffect.FinishRequest finish) {
			finish(finish);
		}
	}

	private void start(RequestEffect.StartAttempt start) {
		Exchange exchange = this.open.get(start.request());
		if (exchange != null) {
			this.attempts.put(start.attempt(), start.request());
			exchange.start(start);
		}
	}

	private void cancel(AttemptIdentifier attempt) {
		RequestIdentifier request = this.attempts.remove(attempt);
		Exchange exchange = (request != null) ? this.open.get(request) : null;
		if (exchange != null) {
			exchange.cancel(attempt);
		}
	}

	private void finish(RequestEffect.FinishRequest finish) {
		Exchange exchange = this.open.remove(finish.request());
		if (exchange != null) {
			exchange.finish(finish.outcome());
		}
	}

}
