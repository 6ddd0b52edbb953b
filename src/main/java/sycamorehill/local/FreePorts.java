package sycamorehill.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.identity.Address;

/**
 * Finds addresses on loopback that nobody listens on.
 */
public final class FreePorts {

	private static final String HOST = "127.0.0.1";

	private FreePorts() {
	}

	/**
	 * Finds several at once, so that they differ.
	 * @param count how many
	 * @return the addresses
	 */
	public static List<Address> find(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int number = 0; number < count; number++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getByName(HOST)));
			}
			return sockets.stream().map((socket) -> Address.of(HOST, socket.getLocalPort())).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			sockets.forEach(FreePorts::close);
		}
	}

	private static void close(ServerSocket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
