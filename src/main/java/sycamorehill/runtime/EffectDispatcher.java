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
 * Passes each effect to the adapter that carries it out, and posts the answer as an
 * event.
 */
final class EffectDispatcher implements EffectPort {

	private final EventSink events;

	private final InstantSource clock;

	private final PlatformClient platform;

	private final VmListClient vmList;

	private final EngineClient engines;

	private final PeerSender peerSender;

	private final RequestPort requestPort;

	private final OperatorPort operatorPort;

	private final Runnable exit;

	private final MetricRegistry metrics;

	EffectDispatcher(EventSink events, InstantSource clock, PlatformClient platform, VmListClient vmList,
			EngineClient engines, PeerSender peerSender, RequestPort requestPort, OperatorPort operatorPort,
			Runnable exit, MetricRegistry metrics) {
		this.events = events;
		this.clock = clock;
		this.platform = platform;
		this.vmList = vmList;
		this.engines = engines;
		this.peerSender = peerSender;
		this.requestPort = requestPort;
		this.operatorPort = operatorPort;
		this.exit = exit;
		this.metrics = metrics;
	}

	@Override
	public void carryOut(Effect effect) {
		if (effect instanceof RequestEffect request) {
			countRequest(request);
			this.requestPort.carryOut(request);
		}
		else if (effect instanceof PlatformEffect.Call call) {
			callPlatform(call);
		}
		else if (effect instanceof PeerEffect.Send send) {
			sendMessage(send);
		}
		else if (effect instanceof TargetEffect target) {
			carryOutTargetEffect(target);
		}
		else if (effect instanceof OperatorEffect operator) {
			this.operatorPort.carryOut(operator);
		}
		else if (effect instanceof NodeEffect.WriteLog log) {
			EventLog.write(log.line());
		}
		else if (effect instanceof NodeEffect.Exit) {
			this.exit.run();
		}
	}

	private void callPlatform(PlatformEffect.Call call) {
		count("platform.calls." + metricName(call.call().owner()));
		Instant sentAt = this.clock.instant();
		this.platform.call(call.request(), call.timeout())
			.thenAccept((answer) -> this.events.post(new PlatformEvent.Answered(call.call(), answer, sentAt)));
	}

	private void sendMessage(PeerEffect.Send send) {
		this.peerSender.send(send.to(), send.message()).exceptionally((failure) -> {
			this.events.post(new PeerEvent.SendFailed(send.to().incarnation().node(), send.message()));
			return null;
		});
	}

	private void carryOutTargetEffect(TargetEffect effect) {
		if (effect instanceof TargetEffect.AskReport ask) {
			requestReport(ask);
		}
		else if (effect instanceof TargetEffect.SendOrder order) {
			sendCommand(order);
		}
		else if (effect instanceof TargetEffect.ReadVmList list) {
			readVmList(list);
		}
	}

	private void requestReport(TargetEffect.AskReport ask) {
		count("engine.reports-asked");
		Instant askedAt = this.clock.instant();
		this.engines.readReport(ask.address()).whenComplete((report, failure) -> {
			if (failure == null) {
				this.events.post(new TargetEvent.ReportReceived(report, askedAt));
			}
			else {
				this.events.post(new TargetEvent.ReportFailed(ask.vm(), unwrap(failure) instanceof NotSentException));
			}
		});
	}

	private void sendCommand(TargetEffect.SendOrder order) {
		count("engine.orders-sent");
		// If the process was paused after the decision, the command may be too old to
		// send: an engine that ignores fencing would execute a command that has been
		// superseded in the meantime.
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

	private static String metricName(CallOwner owner) {
		return owner.name().toLowerCase(Locale.ROOT);
	}

	private static Throwable unwrap(Throwable failure) {
		return (failure instanceof CompletionException) ? failure.getCause() : failure;
	}

}
