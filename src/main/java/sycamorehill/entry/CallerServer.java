package sycamorehill.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;

import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.runtime.EventLog;

/**
 * Takes callers' connections and carries out what the decisions want for their requests.
 * All of it happens on the node's one thread.
 */
final class CallerServer {

	/** Connections that may wait to be accepted: a burst of a second. */
	private static final int BACKLOG = 512;

	/** Bytes of an answer that may wait for a slow caller before the target is paused. */
	private static final int MOST_WAITING_BYTES = 256 * 1024;

	private final EventLoop loop;

	private final ExchangeCodec codec;

	private final EventPost control;

	private final TargetConnections connections;

	private final TargetActivity activity = TargetActivity.create();

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final Set<CallerConnection> callers = new HashSet<>();

	private CallerLimits limits = CallerLimits.INITIAL;

	private long lastNumber;

	private boolean stopping;

	private CallerServer(EventLoop loop, ExchangeCodec codec, EventPost control, TargetConnections connections) {
		this.loop = loop;
		this.codec = codec;
		this.control = control;
		this.connections = connections;
	}

	static CallerServer of(EventLoop loop, ExchangeCodec codec, EventPost control, TargetConnections connections) {
		return new CallerServer(loop, codec, control, connections);
	}

	void start(Address address) throws InterruptedException {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(MOST_WAITING_BYTES / 2, MOST_WAITING_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					CallerLimits present = CallerServer.this.limits;
					CallerConnection connection = CallerConnection.of(CallerServer.this, present);
					channel.pipeline()
						.addLast(new FirstBytes(connection), StrictRequestDecoder.of(present),
								new HttpResponseEncoder(), connection);
				}
			})
			.bind(address.host(), address.port())
			.sync();
	}

	/**
	 * Finds targets that have fallen silent, and closes connections that were idle for
	 * too long. Called several times a second.
	 */
	void look() {
		this.connections.sweep();
		this.activity.silent(System.nanoTime())
			.forEach((target) -> this.control.post(new EntryEvent.TargetSilent(target)));
	}

	Exchange arrived(CallerConnection connection, HttpRequest request, ByteBuf body, long arrivedNanos) {
		this.lastNumber++;
		CallerHead head = this.codec.readCaller(request);
		Exchange exchange = Exchange.of(this.lastNumber, connection, request, body, head, arrivedNanos, this.codec);
		this.exchanges.put(this.lastNumber, exchange);
		String uri = request.uri();
		int query = uri.indexOf('?');
		this.control.post(new EntryEvent.RequestArrived(new CallerRequest(this.lastNumber, head.identifier(),
				CallerConnection.lowerCaseHost(request), (query < 0) ? uri : uri.substring(0, query), head.key(),
				head.model(), head.size(), head.timeLeft(), content(request, body))));
		return exchange;
	}

	private static long content(HttpRequest request, ByteBuf body) {
		HashStream64 hash = Hashing.xxh3_64().hashStream();
		hash.putString(request.method().name()).putString(request.uri());
		byte[] bytes = new byte[body.readableBytes()];
		body.getBytes(body.readerIndex(), bytes);
		return hash.putBytes(bytes).getAsLong();
	}

	/**
	 * Carries out what is wanted for requests and connections.
	 * @param effects what is wanted, in order
	 */
	void carryOut(List<EntryEffect> effects) {
		for (EntryEffect effect : effects) {
			if (effect instanceof EntryEffect.SetCallerLimits limit) {
				this.limits = limit.limits();
			}
			else if (effect instanceof EntryEffect.CloseTargetConnections forget) {
				this.connections.forget(forget.target());
			}
			else {
				carryOutForRequest(effect);
			}
		}
	}

	private void carryOutForRequest(EntryEffect effect) {
		if (effect instanceof EntryEffect.LimitRequestTime bound) {
			with(bound.number(), (exchange) -> exchange.bound(bound.timeout(), this.loop, this.control));
		}
		else if (effect instanceof EntryEffect.StartAttempt start) {
			with(start.number(), (exchange) -> exchange.begin(start, this.connections, this.activity, this.control));
		}
		else if (effect instanceof EntryEffect.CancelAttempt cancel) {
			with(cancel.number(), Exchange::cancelAttempt);
		}
		else if (effect instanceof EntryEffect.Answer answer) {
			with(answer.number(), (exchange) -> exchange.answer(answer.status(), answer.detail(), answer.retryAfter()));
		}
		else if (effect instanceof EntryEffect.ReturnHeldFailure give) {
			with(give.number(), Exchange::giveHeldFailure);
		}
		else if (effect instanceof EntryEffect.AbortAnswer broken) {
			with(broken.number(), Exchange::breakOff);
		}
	}

	private void with(long number, Consumer<Exchange> action) {
		Exchange exchange = this.exchanges.get(number);
		if (exchange != null) {
			action.accept(exchange);
		}
	}

	void over(Exchange exchange) {
		this.exchanges.remove(exchange.number());
	}

	void opened(CallerConnection connection) {
		this.callers.add(connection);
	}

	void closed(CallerConnection connection) {
		this.callers.remove(connection);
	}

	void refused(int status, String detail) {
		EventLog.write(LogLine.of(LogEvent.REQUEST_REFUSED,
				"status=" + status + " cause='" + detail + "' before it was read"));
	}

	void connectionFailed(Throwable cause) {
		EventLog.write(
				LogLine.of(LogEvent.REQUEST_FAILED, "a caller's connection failed cause='" + cause.getMessage() + "'"));
	}

	EventPost control() {
		return this.control;
	}

	boolean stopping() {
		return this.stopping;
	}

	/** From now on each answer closes its connection. */
	void beginStop() {
		this.stopping = true;
	}

	void closeIdle() {
		List.copyOf(this.callers).forEach(CallerConnection::closeIfIdle);
	}

	boolean hasCallers() {
		return !this.callers.isEmpty();
	}

	/**
	 * Tells the connection of bytes before they are decoded.
	 */
	private static final class FirstBytes extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		FirstBytes(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.connection.bytesArrived();
			ctx.fireChannelRead(message);
		}

	}

}
