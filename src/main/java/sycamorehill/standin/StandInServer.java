package sycamorehill.standin;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;

import io.servicetalk.concurrent.api.AsyncCloseable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;

import sycamorehill.model.identity.Address;

/**
 * One HTTP server of a stand-in, which can be closed with all its connections and opened
 * again on the same port.
 */
final class StandInServer {

	private final Handler handler;

	private final Address address;

	private HttpServerContext context;

	private StandInServer(String host, int port, Handler handler) {
		this.handler = handler;
		this.context = listen(new InetSocketAddress(host, port));
		InetSocketAddress bound = (InetSocketAddress) this.context.listenAddress();
		this.address = Address.of(host, bound.getPort());
	}

	static StandInServer open(String host, int port, Handler handler) {
		return new StandInServer(host, port, handler);
	}

	Address address() {
		return this.address;
	}

	synchronized void close() {
		if (this.context != null) {
			this.context.closeAsync().subscribe();
			this.context = null;
		}
	}

	synchronized void reopen() {
		if (this.context == null) {
			this.context = listen(new InetSocketAddress(this.address.host(), this.address.port()));
		}
	}

	private HttpServerContext listen(InetSocketAddress where) {
		try {
			return HttpServers.forAddress(where)
				.executionStrategy(HttpExecutionStrategies.offloadNone())
				.listenStreamingAndAwait((serviceContext, request, factory) -> request.toRequest()
					.flatMap((whole) -> Single.fromStage(this.handler.handle(whole)))
					.flatMap((reply) -> answer(reply, serviceContext, factory)));
		}
		catch (Exception ex) {
			throw new IllegalStateException("can't listen on " + where, ex);
		}
	}

	private static Single<StreamingHttpResponse> answer(Reply reply, HttpServiceContext serviceContext,
			StreamingHttpResponseFactory factory) {
		if (reply.body().isPresent()) {
			return Single.succeeded(reply.toResponse(factory));
		}
		return ((AsyncCloseable) serviceContext).closeAsync().concat(Single.never());
	}

	/**
	 * Answers one request; must not block.
	 */
	@FunctionalInterface
	interface Handler {

		CompletionStage<Reply> handle(HttpRequest request);

	}

}
