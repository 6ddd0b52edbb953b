package sycamorehill.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

import sycamorehill.model.identity.Address;

/**
 * Addresses on loopback that nothing uses, for servers that must know their port before
 * they bind it.
 *
 * A port that the system picked and that was closed again may be given to the next
 * connection that any thread opens: the server then fails to bind. These ports lie below
 * the range that the system takes for connections, and none is given out twice.
 */
public final class FreePorts {

	private static final int FIRST = 20_000;

	private static final int LAST = 32_000;

	private static final AtomicInteger NEXT = new AtomicInteger(
			FIRST + (int) (ProcessHandle.current().pid() * 37 % (LAST - FIRST)));

	private FreePorts() {
	}

	/**
	 * Finds an address.
	 * @return an address that can be bound
	 */
	public static Address next() {
		for (int attempt = FIRST; attempt < LAST; attempt++) {
			int port = NEXT.getAndUpdate((last) -> (last + 1 < LAST) ? last + 1 : FIRST);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return Address.of("127.0.0.1", socket.getLocalPort());
			}
			catch (IOException ex) {
				// Another process has it.
			}
		}
		throw new AssertionError("no port from " + FIRST + " to " + LAST + " is free");
	}

}
