package sycamorehill.runtime;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Locale;
import java.util.concurrent.CompletionException;

import com.codahale.metrics.MetricRegistry;

import sycamorehill.engine.EngineClient;
import sycamorehill.http.NotSentException;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.OperatorEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.objectapi.PlatformClient;
import sycamorehill.objectapi.VmListClient;

/**
 * Hands each effect to the edge that carries it out, and its answer back as an event.
 */
final class EffectRunner implements EffectPort {

	private final EventSink events;

	private final InstantSource clock;

	private final PlatformClient platform;

	private final VmListClient vmList;

	private final EngineClient engines;

	private final PeerSender peers;

	private final RequestPort requests;

	private final OperatorPort operators;

	private final Runnable exit;

	private final MetricRegistry metrics;

	EffectRunner(EventSink events, InstantSource clock, PlatformClient platform, VmListClient vmList,
			EngineClient engines, PeerSender peers, RequestPort requests, OperatorPort operators, Runnable exit,
			MetricRegistry metrics) {
		this.events = events;
		this.clock = clock;
		this.platform = platform;
		this.vmList = vmList;
		this.engines = engines;
		this.peers = peers;
		this.requests = requests;
		this.operators = operators;
		this.exit = exit;
		this.metrics = metrics;
	}

	@Override
	public void carryOut(Effect effect) {
		if (effect instanceof RequestEffect request) {
			countRequest(request);
			this.requests.carryOut(request);
		}
		else if (effect instanceof PlatformEffect.Call call) {
			call(call);
		}
		else if (effect instanceof PeerEffect.Send send) {
			send(send);
		}
		else if (effect instanceof TargetEffect target) {
			target(target);
		}
		else if (effect instanceof OperatorEffect operator) {
			this.operators.carryOut(operator);
		}
		else if (effect instanceof NodeEffect.WriteLog log) {
			EventLog.write(log.line());
		}
		else if (effect instanceof NodeEffect.Exit) {
			this.exit.run();
		}
	}

	private void call(PlatformEffect.Call call) {
		count("platform.calls." + name(call.call().owner()));
		Instant sentAt = this.clock.instant();
		this.platform.call(call.request(), call.timeout())
			.thenAccept((answer) -> this.events.post(new PlatformEvent.Answered(call.call(), answer, sentAt)));
	}

	private void send(PeerEffect.Send send) {
		this.peers.send(send.to(), send.message()).exceptionally((failure) -> {
			this.events.post(new PeerEvent.SendFailed(send.to().incarnation().node(), send.message()));
			return null;
		});
	}

	private void target(TargetEffect effect) {
		if (effect instanceof TargetEffect.AskReport ask) {
			askReport(ask);
		}
		else if (effect instanceof TargetEffect.SendOrder order) {
			sendOrder(order);
		}
		else if (effect instanceof TargetEffect.ReadVmList list) {
			readVmList(list);
		}
	}

	private void askReport(TargetEffect.AskReport ask) {
		count("engine.reports-asked");
		Instant askedAt = this.clock.instant();
		this.engines.readReport(ask.address()).whenComplete((report, failure) -> {
			if (failure == null) {
				this.events.post(new TargetEvent.ReportReceived(report, askedAt));
			}
			else {
				this.events.post(new TargetEvent.ReportFailed(ask.vm(), cause(failure) instanceof NotSentException));
			}
		});
	}

	private void sendOrder(TargetEffect.SendOrder order) {
		count("engine.orders-sent");
		// A process paused between the decision and this line must not send any more: an
		// engine that ignores fencing would obey an order that was overtaken meanwhile.
		if (this.clock.instant().isAfter(order.notAfter())) {
			this.events.post(new TargetEvent.OrderAnswered(order.call(), EngineCommandResult.NOT_KNOWN));
			return;
		}
		this.engines.sendCommand(order.address(), order.command())
			.thenAccept((result) -> this.events.post(new TargetEvent.OrderAnswered(order.call(), result)));
	}

	private void readVmList(TargetEffect.ReadVmList list) {
		count("platform.calls.vm-list");
		this.vmList.read(list.dataCentre()).whenComplete((entries, failure) -> {
			if (failure == null) {
				this.events.post(new TargetEvent.VmListRead(list.dataCentre(), entries));
			}
			else {
				this.events.post(new TargetEvent.VmListFailed(list.dataCentre()));
			}
		});
	}

	private void countRequest(RequestEffect effect) {
		if (effect instanceof RequestEffect.StartAttempt) {
			count("request.attempts");
		}
		else if (effect instanceof RequestEffect.FinishRequest finish) {
			count("request.finished." + finish.outcome().getClass().getSimpleName().toLowerCase(Locale.ROOT));
		}
	}

	private void count(String name) {
		this.metrics.counter(name).inc();
	}

	private static String name(CallOwner owner) {
		return owner.name().toLowerCase(Locale.ROOT);
	}

	private static Throwable cause(Throwable failure) {
		return (failure instanceof CompletionException) ? failure.getCause() : failure;
	}

}
