package sycamorehill.entry;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.identity.Address;

/**
 * Tells the balancer whether this node wants new connections.
 */
final class ReadinessServer {

	private static final int MOST_BYTES = 8 * 1024;

	private final EventLoop loop;

	private final String path;

	private volatile boolean ready;

	private ReadinessServer(EventLoop loop, String path) {
		this.loop = loop;
		this.path = path;
	}

	static ReadinessServer of(EventLoop loop, String path) {
		return new ReadinessServer(loop, path);
	}

	void start(Address address) throws InterruptedException {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BYTES), new Answering());
				}
			})
			.bind(address.host(), address.port())
			.sync();
	}

	void ready(boolean now) {
		this.ready = now;
	}

	private HttpResponseStatus status(FullHttpRequest request) {
		if (!request.uri().equals(this.path)) {
			return HttpResponseStatus.NOT_FOUND;
		}
		return this.ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
	}

	/**
	 * Answers one question after the other.
	 */
	private final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status(request),
					Unpooled.EMPTY_BUFFER);
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
			HttpUtil.setKeepAlive(response, keepAlive);
			var written = ctx.writeAndFlush(response);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}
