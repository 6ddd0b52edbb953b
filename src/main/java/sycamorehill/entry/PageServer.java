package sycamorehill.entry;

import java.nio.charset.StandardCharsets;

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
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.runtime.EventLog;

/**
 * Serves the pages that the load balancer and operators request from a node, one page for
 * each path.
 */
final class PageServer {

	private static final int MAXIMUM_REQUEST_BYTES = 8 * 1024;

	private final EventLoop loop;

	private final PageSource pages;

	private PageServer(EventLoop loop, PageSource pages) {
		this.loop = loop;
		this.pages = pages;
	}

	static PageServer of(EventLoop loop, PageSource pages) {
		return new PageServer(loop, pages);
	}

	void start(Address address) throws InterruptedException {
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES),
								new PageRequestHandler());
				}
			})
			.bind(address.host(), address.port())
			.sync();
	}

	/**
	 * Provides the pages.
	 */
	interface PageSource {

		/**
		 * Returns a page.
		 * @param uri the requested path and query
		 * @param headers the headers, which may contain a key
		 * @return the page
		 */
		Page read(String uri, HttpHeaders headers);

	}

	/**
	 * Page with its status.
	 *
	 * @param status the HTTP status
	 * @param contentType the content type of the text
	 * @param text the text of the page
	 */
	record Page(HttpResponseStatus status, String contentType, String text) {

		static final Page NOT_FOUND = empty(HttpResponseStatus.NOT_FOUND);

		static Page empty(HttpResponseStatus status) {
			return new Page(status, "text/plain", "");
		}

	}

	/**
	 * Handles the requests of a connection one after another.
	 */
	private final class PageRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			answer(ctx, page(request.uri(), request.headers()), keepAlive);
		}

		private Page page(String uri, HttpHeaders headers) {
			try {
				return PageServer.this.pages.read(uri, headers);
			}
			catch (RuntimeException ex) {
				EventLog.failure(LogEvent.EFFECT_FAILED, "a page could not be created", ex);
				return Page.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR);
			}
		}

		private void answer(ChannelHandlerContext ctx, Page page, boolean keepAlive) {
			byte[] text = page.text().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, page.status(),
					Unpooled.wrappedBuffer(text));
			response.headers()
				.set(HttpHeaderNames.CONTENT_TYPE, page.contentType())
				.set(HttpHeaderNames.CONTENT_LENGTH, text.length);
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
