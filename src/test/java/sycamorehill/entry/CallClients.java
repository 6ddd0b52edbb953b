package sycamorehill.entry;

import io.netty.channel.EventLoop;

/**
 * Creates clients for the tests of adapters, which stand outside this package.
 */
public final class CallClients {

	private CallClients() {
	}

	/**
	 * Creates a client.
	 * @param loop the event loop of the client
	 * @return the client
	 */
	public static CallClient of(EventLoop loop) {
		return CallClient.of(TargetConnectionPool.of(loop));
	}

}
