package sycamorehill.process;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import sycamorehill.model.identity.Address;

/**
 * Engine for many streams at a time. The last part of a request's path is the number of
 * events of its stream.
 */
final class NettyEngine implements AutoCloseable {

	private static final int EVENT_MILLIS = 20;

	private static final byte[] EVENT = ("id: 1\ndata: " + ". ".repeat(60) + "\n\n")
		.getBytes(StandardCharsets.US_ASCII);

	private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

	private final Channel channel;

	private NettyEngine() throws InterruptedException {
		this.channel = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel accepted) {
					accepted.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(65536), new StreamHandler());
				}
			})
			.bind("127.0.0.1", 0)
			.sync()
			.channel();
	}

	static NettyEngine start() throws InterruptedException {
		return new NettyEngine();
	}

	Address address() {
		return Address.of("127.0.0.1", ((InetSocketAddress) this.channel.localAddress()).getPort());
	}

	@Override
	public void close() {
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Answers each request with a stream.
	 */
	private static final class StreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
			head.headers()
				.set("Attempt-Id", request.headers().get("Attempt-Id"))
				.set("Server-Signature", "signed")
				.set("Content-Type", "text/event-stream");
			HttpUtil.setTransferEncodingChunked(head, true);
			context.writeAndFlush(head);
			String path = request.uri();
			sendEvents(context, Integer.parseInt(path.substring(path.lastIndexOf('/') + 1)));
		}

		private void sendEvents(ChannelHandlerContext context, int left) {
			if (left == 0) {
				context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
				return;
			}
			context.executor().schedule(() -> {
				context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(EVENT)));
				sendEvents(context, left - 1);
			}, EVENT_MILLIS, TimeUnit.MILLISECONDS);
		}

	}

}
