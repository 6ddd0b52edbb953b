package sycamorehill.entry;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.serving.TargetAddress;

/**
 * Makes HTTP calls on behalf of the node itself, to the store and to engines. Each call
 * has a timeout.
 */
public final class CallClient {

	/**
	 * Maximum size of an answer: the store's values are at most 1 MB, and its lists are a
	 * little larger.
	 */
	private static final int MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

	private static final Duration MAXIMUM_IDLE_TIME = Duration.ofSeconds(5);

	private final TargetConnectionPool connectionPool;

	/** Apart from that of callers' answers, which must not fail calls to the store. */
	private final AnswerMemory answerMemory = AnswerMemory.create();

	private CallClient(TargetConnectionPool connections) {
		this.connectionPool = connections;
	}

	static CallClient of(TargetConnectionPool connections) {
		return new CallClient(connections);
	}

	/**
	 * Makes a call.
	 * @param call the call to make
	 * @param header the header to set; null for none
	 * @param timeout the timeout of the whole call
	 * @return the answer; completes with a {@link CallFailedException} if there is none
	 */
	public CompletableFuture<CallAnswer> call(Call call, Header header, Duration timeout) {
		CompletableFuture<CallAnswer> answer = new CompletableFuture<>();
		this.connectionPool.loop().execute(() -> start(call, header, timeout, answer));
		return answer;
	}

	private void start(Call call, Header header, Duration timeout, CompletableFuture<CallAnswer> answer) {
		TargetConnection idle = call.ownConnection() ? null
				: this.connectionPool.acquireIdle(call.address(), MAXIMUM_IDLE_TIME, "");
		if (idle != null) {
			send(idle, call, header, timeout, answer);
			return;
		}
		ChannelFuture connecting = this.connectionPool.connect(call.address());
		connecting.addListener((future) -> {
			if (future.isSuccess()) {
				send(TargetConnection.of(connecting.channel()), call, header, timeout, answer);
			}
			else {
				answer.completeExceptionally(notConnected(future.cause()));
			}
		});
	}

	private static CallFailedException notConnected(Throwable cause) {
		boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
		return CallFailedException.of(
				refused ? CallFailedException.Cause.NOTHING_LISTENS : CallFailedException.Cause.NOT_CONNECTED,
				String.valueOf(cause.getMessage()));
	}

	private void send(TargetConnection connection, Call call, Header header, Duration timeout,
			CompletableFuture<CallAnswer> answer) {
		ByteBuf body = Unpooled.wrappedBuffer(call.body());
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.path(), body);
		request.headers().set(HttpHeaderNames.HOST, call.address().address().toString());
		if (call.body().length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		if (header != null) {
			request.headers().set(header.name(), header.value());
		}
		AnswerCollector reading = new AnswerCollector(connection, call, answer);
		reading.startTimer(timeout);
		connection.send(request, ExpectedAnswer.unidentified(reading));
	}

	/**
	 * Describes a call.
	 *
	 * @param address the server to call
	 * @param method the HTTP method
	 * @param path the path, with the query
	 * @param body the JSON body; empty for none
	 * @param ownConnection whether the call has a connection of its own
	 * @param maximumAnswerBytes maximum size of the body of the answer in bytes
	 */
	public record Call(TargetAddress address, HttpMethod method, String path, byte[] body, boolean ownConnection,
			int maximumAnswerBytes) {

		/**
		 * Creates a call.
		 * @param address the server to call
		 * @param method the HTTP method
		 * @param path the path, with the query
		 * @param body the JSON body; empty for none
		 * @return the call
		 */
		public static Call of(TargetAddress address, HttpMethod method, String path, byte[] body) {
			return new Call(address, method, path, body, false, MAXIMUM_ANSWER_BYTES);
		}

		/**
		 * Creates a GET call without a body.
		 * @param address the server to call
		 * @param path the path, with the query
		 * @return the call
		 */
		public static Call get(TargetAddress address, String path) {
			return of(address, HttpMethod.GET, path, new byte[0]);
		}

		/**
		 * Returns this call as one to an engine: on a connection of its own, because an
		 * engine may answer twice, and answers to calls have no identifiers; and with an
		 * answer so short that it takes nothing of the memory that the answers of the
		 * store need.
		 * @return the call
		 */
		public Call toEngine() {
			return new Call(this.address, this.method, this.path, this.body, true, AnswerMemory.FREE_BYTES_PER_ANSWER);
		}

	}

	/**
	 * Header of a call.
	 *
	 * @param name the name of the header
	 * @param value the value of the header
	 */
	public record Header(String name, String value) {
	}

	/**
	 * Collects one answer and completes the call with it.
	 */
	private final class AnswerCollector implements AnswerHandler {

		private final TargetConnection connection;

		private final Call call;

		private final CompletableFuture<CallAnswer> answer;

		private final ByteBuf body = Unpooled.buffer();

		private HttpResponse head;

		private ScheduledFuture<?> timer;

		AnswerCollector(TargetConnection connection, Call call, CompletableFuture<CallAnswer> answer) {
			this.connection = connection;
			this.call = call;
			this.answer = answer;
		}

		void startTimer(Duration timeout) {
			this.timer = CallClient.this.connectionPool.loop()
				.schedule(() -> abort("no answer in " + timeout), timeout.toNanos(), TimeUnit.NANOSECONDS);
		}

		@Override
		public void handleHead(HttpResponse response) {
			this.head = response;
		}

		@Override
		public void handleBody(ByteBuf bytes) {
			int size = this.body.readableBytes() + bytes.readableBytes();
			if (size > this.call.maximumAnswerBytes()) {
				abort("the answer is longer than " + this.call.maximumAnswerBytes() + " bytes");
			}
			else if (!CallClient.this.answerMemory.resize(this.body.readableBytes(), size)) {
				abort("the answers of all calls hold too much memory");
			}
			else {
				this.body.writeBytes(bytes);
			}
		}

		@Override
		public boolean isContradictedBy(HttpResponse second) {
			return second.status().code() != this.head.status().code();
		}

		// Cancels the timer, which would otherwise wake the process although the answer
		// has arrived. Completes the call in a task: after tasks the event loop reads
		// before it runs timers, so that decoding a large answer lets no timer of another
		// connection expire whose bytes have arrived.
		@Override
		public void handleEnd() {
			if (AnswerFraming.endsWithConnection(this.head)) {
				fail("the answer ends with its connection");
				return;
			}
			this.timer.cancel(false);
			if (this.connection.isReusable() && !this.call.ownConnection()) {
				CallClient.this.connectionPool.release(this.call.address(), this.connection,
						MAXIMUM_IDLE_TIME.multipliedBy(2));
			}
			else {
				this.connection.close();
			}
			CallClient.this.answerMemory.resize(this.body.readableBytes(), 0);
			byte[] bytes = new byte[this.body.readableBytes()];
			this.body.readBytes(bytes);
			CallAnswer received = new CallAnswer(this.head.status().code(), this.head.headers(), bytes);
			CallClient.this.connectionPool.loop().execute(() -> this.answer.complete(received));
		}

		@Override
		public void handleConnectionLost(String cause) {
			fail(cause);
		}

		@Override
		public void handleInvalidAnswer(String cause) {
			fail(cause);
		}

		private void fail(String cause) {
			this.timer.cancel(false);
			CallClient.this.answerMemory.resize(this.body.readableBytes(), 0);
			this.body.clear();
			this.answer.completeExceptionally(CallFailedException.of(CallFailedException.Cause.NO_ANSWER, cause));
		}

		void abort(String cause) {
			if (!this.answer.isDone()) {
				this.connection.reset();
				fail(cause);
			}
		}

	}

}
