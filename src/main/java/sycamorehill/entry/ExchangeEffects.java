package sycamorehill.entry;

import java.util.function.Consumer;

import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.TargetAddress;

/**
 * Executes the effects that concern requests and the connections for them. All methods
 * run on the single event loop of the node.
 */
final class ExchangeEffects {

	private final ExchangeRegistry exchanges;

	private final TargetConnectionPool targetConnections;

	private final ProxyConnectionPool proxyConnections;

	private final StreamMonitor streamMonitor;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private ExchangeEffects(ExchangeRegistry exchanges, TargetConnectionPool targetConnections,
			ProxyConnectionPool proxyConnections, StreamMonitor streamMonitor, ExchangeCodec codec,
			EntryEventSink eventSink) {
		this.exchanges = exchanges;
		this.targetConnections = targetConnections;
		this.proxyConnections = proxyConnections;
		this.streamMonitor = streamMonitor;
		this.codec = codec;
		this.eventSink = eventSink;
	}

	static ExchangeEffects of(ExchangeRegistry exchanges, TargetConnectionPool targetConnections,
			ProxyConnectionPool proxyConnections, StreamMonitor streamMonitor, ExchangeCodec codec,
			EntryEventSink eventSink) {
		return new ExchangeEffects(exchanges, targetConnections, proxyConnections, streamMonitor, codec, eventSink);
	}

	/**
	 * Executes an effect.
	 * @param effect the effect
	 */
	void execute(EntryEffect effect) {
		if (!executeForConnections(effect) && !executeForAttempt(effect)) {
			executeForAnswer(effect);
		}
	}

	private boolean executeForConnections(EntryEffect effect) {
		if (effect instanceof EntryEffect.CloseTargetConnections close) {
			this.targetConnections.closeIdle(close.target());
		}
		else if (effect instanceof EntryEffect.ProbeTargets probe) {
			probe.targets().forEach(this::probe);
		}
		else if (effect instanceof EntryEffect.ReportStalledTargets) {
			this.streamMonitor.reportStalledTargets();
		}
		else {
			return false;
		}
		return true;
	}

	private void probe(TargetAddress target) {
		TargetProbe.of(this.targetConnections, this.eventSink)
			.connect(target, this.streamMonitor::markPathProven,
					(cause) -> this.eventSink.post(new EntryEvent.TargetUnreached(target.name())));
	}

	private boolean executeForAttempt(EntryEffect effect) {
		if (effect instanceof EntryEffect.LimitRequestTime limit) {
			forExchange(limit.number(),
					(exchange) -> exchange.limitTime(limit.timeout(), this.targetConnections.loop(), this.eventSink));
		}
		else if (effect instanceof EntryEffect.StartAttempt start) {
			forExchange(start.number(), (exchange) -> start(start, exchange));
		}
		else if (effect instanceof EntryEffect.StartProxiedAttempt start) {
			forCaller(start.number(), (exchange) -> start(start, exchange));
		}
		else if (effect instanceof EntryEffect.CancelAttempt cancel) {
			forExchange(cancel.number(), (exchange) -> exchange.cancelAttempt(cancel.attempt()));
		}
		else {
			return false;
		}
		return true;
	}

	private void start(EntryEffect.StartAttempt start, RunningExchange exchange) {
		if (!exchange.isFinished()) {
			exchange.addAttempt(start.attempt(), TargetAttempt.start(start, exchange, this.targetConnections,
					this.streamMonitor.targets(), this.codec, this.eventSink));
		}
	}

	private void start(EntryEffect.StartProxiedAttempt start, CallerExchange exchange) {
		if (!exchange.isFinished()) {
			exchange.addAttempt(start.attempt(), ProxyAttempt.start(start, exchange, this.proxyConnections,
					this.streamMonitor.nodes(), this.codec, this.eventSink));
		}
	}

	private void executeForAnswer(EntryEffect effect) {
		if (effect instanceof EntryEffect.Answer answer) {
			forCaller(answer.number(),
					(exchange) -> exchange.answerLocally(answer.status(), answer.detail(), answer.retryAfter()));
		}
		else if (effect instanceof EntryEffect.ReturnHeldFailure returned) {
			forCaller(returned.number(), CallerExchange::returnHeldFailure);
		}
		else if (effect instanceof EntryEffect.AbortAnswer abort) {
			forCaller(abort.number(), CallerExchange::abortAnswer);
		}
		else if (effect instanceof EntryEffect.ReportProxiedStall stall) {
			this.exchanges.find(stall.number(), ProxiedExchange.class)
				.ifPresent((exchange) -> exchange.reportStall(stall.target()));
		}
		else if (effect instanceof EntryEffect.EndProxiedRequest end) {
			this.exchanges.find(end.number(), ProxiedExchange.class)
				.ifPresent((exchange) -> exchange.end(end.target(), end.end()));
		}
	}

	private void forExchange(long number, Consumer<RunningExchange> action) {
		this.exchanges.find(number, RunningExchange.class).ifPresent(action);
	}

	private void forCaller(long number, Consumer<CallerExchange> action) {
		this.exchanges.find(number, CallerExchange.class).ifPresent(action);
	}

}
