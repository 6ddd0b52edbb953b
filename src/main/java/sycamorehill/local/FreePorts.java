package sycamorehill.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import sycamorehill.model.identity.Address;

/**
 * Finds addresses on loopback that nobody listens on.
 *
 * A port that the system picks, and that is closed again, may be given to the next
 * connection that any process opens before the server binds it: the server then fails to
 * start. These ports lie below the range that systems take for connections (from 32,768),
 * and this process gives none out twice in a row.
 */
public final class FreePorts {

	private static final String HOST = "127.0.0.1";

	private static final int FIRST = 20_000;

	private static final int NUMBER = 12_000;

	/** Processes that start at once begin far from each other. */
	private static final int STEP_BETWEEN_PROCESSES = 97;

	private static final AtomicInteger TRIED = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * STEP_BETWEEN_PROCESSES % NUMBER));

	private FreePorts() {
	}

	/**
	 * Finds several, which all differ.
	 * @param count how many
	 * @return the addresses
	 */
	public static List<Address> find(int count) {
		return Stream.generate(FreePorts::next).limit(count).toList();
	}

	private static Address next() {
		for (int attempt = 0; attempt < NUMBER; attempt++) {
			int port = FIRST + Math.floorMod(TRIED.getAndIncrement(), NUMBER);
			if (free(port)) {
				return Address.of(HOST, port);
			}
		}
		throw new IllegalStateException("none of the ports from " + FIRST + " to " + (FIRST + NUMBER) + " is free");
	}

	// A port that can't be bound is another process's: the next one is tried.
	private static boolean free(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
