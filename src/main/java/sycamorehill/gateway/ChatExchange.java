package sycamorehill.gateway;

import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

import sycamorehill.engine.AttemptHandle;
import sycamorehill.engine.AttemptListener;
import sycamorehill.engine.CompletionCall;
import sycamorehill.engine.EngineClient;
import sycamorehill.logic.request.FrameDecision;
import sycamorehill.logic.request.FrameStatus;
import sycamorehill.logic.request.TokenRelay;
import sycamorehill.model.effect.RequestEffect;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.AttemptResult;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.runtime.EventSink;

/**
 * A chat completion: tokens of one attempt after another reach the caller as one answer.
 */
final class ChatExchange implements Exchange {

	private final CallerCall call;

	private final EngineClient engines;

	private final EventSink events;

	private final ChatAnswer answer;

	private TokenRelay relay = TokenRelay.create();

	private AttemptHandle handle = () -> {
	};

	private ChatExchange(CallerCall call, EngineClient engines, EventSink events, ChatAnswer answer) {
		this.call = call;
		this.engines = engines;
		this.events = events;
		this.answer = answer;
	}

	static ChatExchange create(CallerCall call, EngineClient engines, EventSink events,
			StreamingHttpResponseFactory factory, ResponseWriter writer, long created, ResponseSlot slot) {
		ChatAnswer answer = call.stream()
				? StreamedChatAnswer.create(call, factory, writer, created, slot,
						() -> events.post(new RequestEvent.CallerGone(call.description().identifier())))
				: WholeChatAnswer.create(call, factory, writer, created, slot);
		return new ChatExchange(call, engines, events, answer);
	}

	@Override
	public synchronized void start(RequestEffect.StartAttempt effect) {
		RequestDescription request = this.call.description();
		long generation = effect.target().group().map(GroupIdentity::generation).orElse(0L);
		this.relay = this.relay.startAttempt(effect.attempt());
		CompletionCall completion = new CompletionCall(effect.attempt(), generation, this.call.prompt(),
				request.maximumTokens(), this.relay.nextIndex(), request.priority(), effect.readTimeout());
		this.handle = this.engines.complete(effect.target().address(), completion, listener(effect.attempt()));
	}

	@Override
	public synchronized void cancel(AttemptIdentifier attempt) {
		this.relay = this.relay.endAttempt(attempt);
		this.handle.cancel();
	}

	@Override
	public synchronized void finish(RequestOutcome outcome) {
		this.answer.finish(outcome, this.relay.nextIndex());
	}

	private AttemptListener listener(AttemptIdentifier attempt) {
		return new AttemptListener() {

			private boolean begun;

			@Override
			public void handleToken(int index, String token) {
				if (take(attempt, index, token) && !this.begun) {
					this.begun = true;
					ChatExchange.this.events.post(new RequestEvent.FirstToken(attempt));
				}
			}

			@Override
			public void handleEnd(AttemptResult result) {
				end(attempt, result);
			}

		};
	}

	private synchronized boolean take(AttemptIdentifier attempt, int index, String token) {
		FrameDecision decision = this.relay.acceptToken(attempt, index);
		this.relay = decision.relay();
		if (decision.status() == FrameStatus.DELIVER) {
			this.answer.token(token);
			return true;
		}
		if (decision.status() == FrameStatus.GAP) {
			this.handle.cancel();
			over(attempt, new AttemptResult.Interrupted(false, "a token is missing before index " + index));
		}
		return false;
	}

	private synchronized void end(AttemptIdentifier attempt, AttemptResult result) {
		if (!(result instanceof AttemptResult.Completed whole)) {
			over(attempt, result);
			return;
		}
		FrameDecision decision = this.relay.acceptEndMark(attempt, whole.tokens());
		if (decision.status() == FrameStatus.COMPLETE) {
			this.relay = decision.relay();
			ended(attempt, result);
		}
		else if (decision.status() == FrameStatus.TRUNCATED) {
			over(attempt, new AttemptResult.Interrupted(false, "the end mark does not fit the tokens that came"));
		}
	}

	private void over(AttemptIdentifier attempt, AttemptResult result) {
		if (this.relay.attempt().filter(attempt::equals).isPresent()) {
			this.relay = this.relay.endAttempt(attempt);
			ended(attempt, result);
		}
	}

	private void ended(AttemptIdentifier attempt, AttemptResult result) {
		this.events.post(new RequestEvent.AttemptEnded(attempt, this.relay.nextIndex(), result));
	}

	/**
	 * How tokens become an answer on the wire.
	 */
	interface ChatAnswer {

		/**
		 * Adds the next token.
		 * @param token its text
		 */
		void token(String token);

		/**
		 * Ends the answer.
		 * @param outcome the outcome
		 * @param tokens how many tokens there were
		 */
		void finish(RequestOutcome outcome, int tokens);

	}

	/**
	 * Collects the tokens and answers once.
	 */
	record WholeChatAnswer(CallerCall call, StreamingHttpResponseFactory factory, ResponseWriter writer, long created,
			ResponseSlot slot, StringBuilder content) implements ChatAnswer {

		static WholeChatAnswer create(CallerCall call, StreamingHttpResponseFactory factory, ResponseWriter writer,
				long created, ResponseSlot slot) {
			return new WholeChatAnswer(call, factory, writer, created, slot, new StringBuilder());
		}

		@Override
		public void token(String token) {
			this.content.append(token);
		}

		@Override
		public void finish(RequestOutcome outcome, int tokens) {
			String request = this.call.description().identifier().toString();
			if (!(outcome instanceof RequestOutcome.Completed)) {
				this.slot.give(this.writer.problem(this.factory, Problem.of(outcome), request));
				return;
			}
			ChatCompletion.Usage usage = ChatCompletion.Usage.of(this.call.description().promptTokens(), tokens);
			ChatCompletion body = ChatCompletion.of(request, this.created, this.call.description().service().value(),
					this.content.toString(), usage);
			this.slot.give(this.writer.whole(this.factory, SuccessStatus.OK, "application/json", this.writer.text(body),
					OutcomeName.COMPLETED, request));
		}

	}

	/**
	 * Sends each token on as an event. The head of the answer waits for the first token,
	 * so that a request that never begins still gets a status that says so.
	 */
	record StreamedChatAnswer(CallerCall call, StreamingHttpResponseFactory factory, ResponseWriter writer,
			long created, ResponseSlot slot, Runnable callerGone, TokenStream stream) implements ChatAnswer {

		private static final String END_MARK = "[DONE]";

		static StreamedChatAnswer create(CallerCall call, StreamingHttpResponseFactory factory, ResponseWriter writer,
				long created, ResponseSlot slot, Runnable callerGone) {
			return new StreamedChatAnswer(call, factory, writer, created, slot, callerGone, TokenStream.create());
		}

		@Override
		public void token(String token) {
			begin();
			ChatChunk chunk = ChatChunk.token(request(), this.created, model(), token);
			if (!this.stream.write(this.writer.event(chunk))) {
				this.stream.fail("the caller does not read its answer");
				this.callerGone.run();
			}
		}

		@Override
		public void finish(RequestOutcome outcome, int tokens) {
			if (outcome instanceof RequestOutcome.Completed) {
				begin();
				this.stream.write(this.writer.event(ChatChunk.stop(request(), this.created, model())));
				this.stream.write(this.writer.rawEvent(END_MARK));
				this.stream.complete();
				return;
			}
			Problem problem = Problem.of(outcome);
			if (!this.slot.given()) {
				this.slot.give(this.writer.problem(this.factory, problem, request()));
				return;
			}
			this.stream.write(this.writer.event(new StreamError(ProblemBody.of(problem, request()))));
			this.stream.complete();
		}

		private void begin() {
			if (!this.slot.given()) {
				StreamingHttpResponse head = this.writer.stream(this.factory,
						this.stream.publisher().beforeCancel(this.callerGone::run), request());
				this.slot.give(head);
			}
		}

		private String request() {
			RequestIdentifier identifier = this.call.description().identifier();
			return identifier.toString();
		}

		private String model() {
			return this.call.description().service().value();
		}

	}

}
