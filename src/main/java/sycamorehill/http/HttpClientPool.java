package sycamorehill.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;

import sycamorehill.model.identity.Address;

/**
 * One HTTP client for each address. The library's own retries are off, because a retry
 * below the decisions could run an order twice; its health checks are off, because which
 * target gets work is decided elsewhere.
 */
public final class HttpClientPool implements AutoCloseable {

	private static final int HEALTH_CHECKS_OFF = -1;

	private static final int MAXIMUM_CLIENTS = 4096;

	private final ConcurrentMap<Address, StreamingHttpClient> clients = new ConcurrentHashMap<>();

	private final Duration connectTimeout;

	private HttpClientPool(Duration connectTimeout) {
		this.connectTimeout = connectTimeout;
	}

	/**
	 * Creates an empty pool.
	 * @param connectTimeout the longest wait for a connection
	 * @return the pool
	 */
	public static HttpClientPool create(Duration connectTimeout) {
		return new HttpClientPool(connectTimeout);
	}

	/**
	 * The client of an address.
	 * @param address the address
	 * @return the client, made when it is first asked for
	 */
	public StreamingHttpClient client(Address address) {
		if (this.clients.size() > MAXIMUM_CLIENTS) {
			closeAll();
		}
		return this.clients.computeIfAbsent(address, this::createClient);
	}

	private StreamingHttpClient createClient(Address address) {
		return HttpClients.forResolvedAddress(new InetSocketAddress(address.host(), address.port()))
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.loadBalancerFactory(DefaultHttpLoadBalancerFactory.Builder
				.from(RoundRobinLoadBalancers
					.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder("single-address")
					.healthCheckFailedConnectionsThreshold(HEALTH_CHECKS_OFF)
					.build())
				.build())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.buildStreaming();
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
