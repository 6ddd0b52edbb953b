package sycamorehill.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.servicetalk.http.api.StreamingHttpResponseFactory;

import sycamorehill.engine.PlainAnswer;
import sycamorehill.engine.PlainCall;
import sycamorehill.engine.PlainServiceClient;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.request.RecordedAnswer;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.runtime.EventSink;

/**
 * A call to a plain service: one whole answer.
 */
final class PlainExchange implements Exchange {

	private static final String NO_BODY = "";

	private final CallerCall call;

	private final PlainServiceClient services;

	private final EventSink events;

	private final StreamingHttpResponseFactory factory;

	private final ResponseWriter writer;

	private final ResponseSlot slot;

	private Optional<AttemptIdentifier> present = Optional.empty();

	private CompletableFuture<PlainAnswer> pending = new CompletableFuture<>();

	private Optional<RecordedAnswer> answer = Optional.empty();

	private PlainExchange(CallerCall call, PlainServiceClient services, EventSink events,
			StreamingHttpResponseFactory factory, ResponseWriter writer, ResponseSlot slot) {
		this.call = call;
		this.services = services;
		this.events = events;
		this.factory = factory;
		this.writer = writer;
		this.slot = slot;
	}

	static PlainExchange create(CallerCall call, PlainServiceClient services, EventSink events,
			StreamingHttpResponseFactory factory, ResponseWriter writer, ResponseSlot slot) {
		return new PlainExchange(call, services, events, factory, writer, slot);
	}

	@Override
	public synchronized void start(RequestEffect.StartAttempt effect) {
		this.present = Optional.of(effect.attempt());
		Optional<String> body = this.call.body().isEmpty() ? Optional.empty() : Optional.of(this.call.body());
		PlainCall plain = new PlainCall(this.call.description().method(), this.call.target(), this.call.contentType(),
				this.call.idempotencyKey(), body, effect.readTimeout());
		this.pending = this.services.send(effect.target().address(), plain);
		this.pending.thenAccept((result) -> take(effect.attempt(), result));
	}

	@Override
	public synchronized void cancel(AttemptIdentifier attempt) {
		if (this.present.filter(attempt::equals).isPresent()) {
			this.present = Optional.empty();
			this.pending.cancel(false);
		}
	}

	@Override
	public synchronized void finish(RequestOutcome outcome) {
		String request = this.call.description().identifier().toString();
		if (outcome instanceof RequestOutcome.Replayed replayed) {
			this.slot.give(this.writer.recorded(this.factory, replayed.answer(), request)
				.setHeader("Idempotent-Replayed", "true"));
		}
		else if (outcome instanceof RequestOutcome.Completed) {
			RecordedAnswer whole = this.answer
				.orElse(new RecordedAnswer(SuccessStatus.NO_CONTENT, "text/plain", NO_BODY));
			this.slot.give(this.writer.recorded(this.factory, whole, request));
		}
		else {
			this.slot.give(this.writer.problem(this.factory, Problem.of(outcome), request));
		}
	}

	private synchronized void take(AttemptIdentifier attempt, PlainAnswer result) {
		// A late answer of an attempt that was given up must not become the answer of
		// another: only the present attempt's answer is kept.
		if (this.present.filter(attempt::equals).isEmpty()) {
			return;
		}
		this.present = Optional.empty();
		this.answer = result.answer();
		this.events.post(new RequestEvent.AttemptEnded(attempt, 0, result.result()));
	}

}
