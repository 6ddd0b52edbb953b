package sycamorehill.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpClient;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpClientFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequester;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;

import sycamorehill.model.identity.Address;

/**
 * Holds one HTTP client for each address. ServiceTalk's own retries are disabled, because
 * a retry that the load balancer doesn't decide on could execute an order twice. Its
 * health checks are disabled, because other parts of the load balancer select the
 * targets.
 */
public final class HttpClientPool implements AutoCloseable {

	private static final int HEALTH_CHECKS_OFF = -1;

	private static final int MAXIMUM_CLIENTS = 4096;

	private final ConcurrentMap<Address, StreamingHttpClient> clients = new ConcurrentHashMap<>();

	private final Duration connectTimeout;

	private final boolean reusesConnections;

	private HttpClientPool(Duration connectTimeout, boolean reusesConnections) {
		this.connectTimeout = connectTimeout;
		this.reusesConnections = reusesConnections;
	}

	/**
	 * Creates an empty pool whose clients reuse connections. ServiceTalk takes any answer
	 * on a connection for that to its next request, also a second one to a request
	 * before.
	 * @param connectTimeout the maximum time to establish a connection
	 * @return the pool
	 */
	public static HttpClientPool create(Duration connectTimeout) {
		return new HttpClientPool(connectTimeout, true);
	}

	/**
	 * Creates an empty pool whose clients use a connection for each request, for servers
	 * that may answer a request twice.
	 * @param connectTimeout the maximum time to establish a connection
	 * @return the pool
	 */
	public static HttpClientPool createWithoutReuse(Duration connectTimeout) {
		return new HttpClientPool(connectTimeout, false);
	}

	/**
	 * Returns the client of an address and creates it if there is none.
	 * @param address the address
	 * @return the client
	 */
	public StreamingHttpClient client(Address address) {
		if (this.clients.size() > MAXIMUM_CLIENTS) {
			closeAll();
		}
		return this.clients.computeIfAbsent(address, this::createClient);
	}

	private StreamingHttpClient createClient(Address address) {
		SingleAddressHttpClientBuilder<InetSocketAddress, InetSocketAddress> builder = HttpClients
			.forResolvedAddress(new InetSocketAddress(address.host(), address.port()))
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.loadBalancerFactory(DefaultHttpLoadBalancerFactory.Builder
				.from(RoundRobinLoadBalancers
					.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder("single-address")
					.healthCheckFailedConnectionsThreshold(HEALTH_CHECKS_OFF)
					.build())
				.build())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries());
		return this.reusesConnections ? builder.buildStreaming()
				: builder.appendClientFilter(HttpClientPool::closeAfterAnswer).buildStreaming();
	}

	private static StreamingHttpClientFilter closeAfterAnswer(FilterableStreamingHttpClient client) {
		return new StreamingHttpClientFilter(client) {

			@Override
			protected Single<StreamingHttpResponse> request(StreamingHttpRequester delegate,
					StreamingHttpRequest request) {
				request.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				return delegate.request(request);
			}

		};
	}

	private void closeAll() {
		for (Address address : this.clients.keySet()) {
			StreamingHttpClient client = this.clients.remove(address);
			if (client != null) {
				client.closeAsyncGracefully().subscribe();
			}
		}
	}

	@Override
	public void close() {
		closeAll();
	}

}
