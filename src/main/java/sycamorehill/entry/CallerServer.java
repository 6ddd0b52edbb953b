package sycamorehill.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;

import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.Workspace;
import sycamorehill.runtime.EventLog;

/**
 * Accepts the connections of callers. All methods run on the single event loop of the
 * node.
 */
final class CallerServer {

	/** Length of the accept queue: holds the connections of a burst of one second. */
	private static final int ACCEPT_BACKLOG = 512;

	/**
	 * Unsent bytes of an answer to a slow caller at which reading from the target pauses.
	 * Each descriptor that a machine may open can be such a caller's.
	 */
	private static final int MAXIMUM_UNSENT_BYTES = 32 * 1024;

	/** Maximum total size of the bodies of all callers' requests. */
	static final int MAXIMUM_BODY_BYTES = 32 * 1024 * 1024;

	private final EventLoop loop;

	private final ExchangeCodec codec;

	private final EntryEventSink eventSink;

	private final ExchangeRegistry exchanges;

	private final AnswerCutLog cutLog;

	private final CallerConnectionLimit connectionLimit;

	private final Set<CallerConnection> callerConnections = new HashSet<>();

	private CallerLimits limits = CallerLimits.INITIAL;

	private CallerIdentities callers = CallerIdentities.of(Map.of());

	private boolean stopping;

	private int bodyBytes;

	private CallerServer(EventLoop loop, ExchangeCodec codec, EntryEventSink eventSink, ExchangeRegistry exchanges,
			AnswerCutLog cutLog, CallerConnectionLimit connectionLimit) {
		this.loop = loop;
		this.codec = codec;
		this.eventSink = eventSink;
		this.exchanges = exchanges;
		this.cutLog = cutLog;
		this.connectionLimit = connectionLimit;
	}

	static CallerServer of(EventLoop loop, ExchangeCodec codec, EntryEventSink eventSink, ExchangeRegistry exchanges,
			AnswerCutLog cutLog, CallerConnectionLimit connectionLimit) {
		return new CallerServer(loop, codec, eventSink, exchanges, cutLog, connectionLimit);
	}

	void start(Address address) throws InterruptedException {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(MAXIMUM_UNSENT_BYTES / 2, MAXIMUM_UNSENT_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					CallerLimits currentLimits = CallerServer.this.limits;
					CallerConnection connection = CallerConnection.of(CallerServer.this, currentLimits);
					channel.pipeline()
						.addLast(new FirstBytesHandler(connection), StrictRequestDecoder.of(currentLimits),
								new HttpResponseEncoder(), connection);
				}
			})
			.bind(address.host(), address.port())
			.sync();
	}

	CallerExchange acceptRequest(CallerConnection connection, HttpRequest request, ByteBuf body, long arrivedNanos) {
		CallerRequestHead head = this.codec.readCallerRequest(request);
		CallerExchange exchange = CallerExchange.of(this.exchanges.nextNumber(), connection, request, body, head,
				arrivedNanos, this.codec);
		String uri = request.uri();
		int query = uri.indexOf('?');
		EntryEvent arrived = new EntryEvent.RequestArrived(new CallerRequest(exchange.number(), head.identifier(),
				lowerCaseHost(request), (query < 0) ? uri : uri.substring(0, query), head.apiKey(), head.model(),
				head.tokenCounts(), head.sharedPromptParts(), head.timeLeft(),
				ContentHash.of(request, this.callers.identify(head.apiKey()), body)));
		this.eventSink.post(arrived);
		this.exchanges.add(exchange);
		return exchange;
	}

	private static String lowerCaseHost(HttpRequest request) {
		String host = request.headers().get(HttpHeaderNames.HOST).toLowerCase(Locale.ROOT);
		int colon = host.lastIndexOf(':');
		return (colon > 0 && !host.endsWith("]")) ? host.substring(0, colon) : host;
	}

	CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Applies limits to requests that arrive from now on.
	 * @param newLimits the limits
	 */
	void setLimits(CallerLimits newLimits) {
		this.limits = newLimits;
	}

	/**
	 * Applies the workspaces of API keys to requests that arrive from now on.
	 * @param workspacesByApiKey the workspace of each key
	 */
	void setWorkspaces(Map<String, Workspace> workspacesByApiKey) {
		this.callers = CallerIdentities.of(workspacesByApiKey);
	}

	/**
	 * Reserves memory for a part of a body.
	 * @param bytes size of the part
	 * @return false if the bodies of all callers would become too large
	 */
	boolean reserveBody(int bytes) {
		if (bytes > MAXIMUM_BODY_BYTES - this.bodyBytes) {
			return false;
		}
		this.bodyBytes += bytes;
		return true;
	}

	void releaseBody(int bytes) {
		this.bodyBytes -= bytes;
	}

	void removeExchange(CallerExchange exchange) {
		releaseBody(exchange.bodyBytes());
		this.exchanges.remove(exchange);
	}

	/**
	 * Adds a connection that was accepted.
	 * @param connection the connection
	 * @return false if there is no room for it, and it must be closed unread
	 */
	boolean addConnection(CallerConnection connection) {
		return this.connectionLimit.makeRoom(this.callerConnections.size()) && this.callerConnections.add(connection);
	}

	void removeConnection(CallerConnection connection) {
		this.connectionLimit.markBusy(connection);
		this.callerConnections.remove(connection);
	}

	void markIdle(CallerConnection connection) {
		this.connectionLimit.markIdle(connection);
	}

	void markBusy(CallerConnection connection) {
		this.connectionLimit.markBusy(connection);
	}

	void logRefusal(int status, String detail) {
		EventLog.write(LogLine.of(LogEvent.REQUEST_REFUSED,
				"status=" + status + " cause='" + detail + "' before it was read"));
	}

	void logFailedRequest(Throwable cause) {
		EventLog.failure((cause instanceof Error) ? LogEvent.ERROR_THROWN : LogEvent.INVARIANT_BROKEN,
				"a request that was read", cause);
	}

	void logConnectionFailure(String requests, Throwable cause) {
		EventLog.write(LogLine.of(LogEvent.REQUEST_FAILED,
				"requests=" + requests + " a caller's connection failed cause='" + cause + "'"));
	}

	AnswerCutLog cutLog() {
		return this.cutLog;
	}

	String identifier(HttpRequest request) {
		return this.codec.readCallerRequest(request).identifier();
	}

	EntryEventSink eventSink() {
		return this.eventSink;
	}

	/**
	 * Returns whether answers ask their callers to close the connection.
	 * @return true if this node stops, or holds many connections
	 */
	boolean asksToClose() {
		return this.stopping || this.connectionLimit.isCrowded(this.callerConnections.size());
	}

	/** Makes each further answer close its connection. */
	void startStopping() {
		this.stopping = true;
	}

	void closeIdle() {
		List.copyOf(this.callerConnections).forEach(CallerConnection::closeIfIdle);
	}

	/** Reports the answers that the end of the process breaks off. */
	void reportUnfinished() {
		this.callerConnections.forEach(CallerConnection::reportUnfinished);
	}

	int connections() {
		return this.callerConnections.size();
	}

	boolean hasCallers() {
		return !this.callerConnections.isEmpty();
	}

	/**
	 * Notifies the connection of received bytes before they are decoded.
	 */
	private static final class FirstBytesHandler extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		FirstBytesHandler(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.connection.handleFirstBytes();
			ctx.fireChannelRead(message);
		}

	}

}
