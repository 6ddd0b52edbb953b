package sycamorehill.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import sycamorehill.model.identity.Address;

/**
 * A TCP link to one address that a test can cut.
 */
final class CuttableLink implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private final ServerSocket server;

	private final Address target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile boolean cut;

	private CuttableLink(ServerSocket server, Address target) {
		this.server = server;
		this.target = target;
	}

	static CuttableLink to(Address target) throws IOException {
		CuttableLink link = new CuttableLink(new ServerSocket(0, 50, InetAddress.getByName(HOST)), target);
		start(link::accept);
		return link;
	}

	Address address() {
		return Address.of(HOST, this.server.getLocalPort());
	}

	void cut() {
		this.cut = true;
		this.sockets.forEach(CuttableLink::close);
		this.sockets.clear();
	}

	void mend() {
		this.cut = false;
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				connect(this.server.accept());
			}
			catch (IOException ex) {
				Thread.onSpinWait();
			}
		}
	}

	private void connect(Socket inner) throws IOException {
		if (this.cut) {
			inner.close();
			return;
		}
		Socket outer = new Socket(this.target.host(), this.target.port());
		this.sockets.add(inner);
		this.sockets.add(outer);
		start(() -> copy(inner, outer));
		start(() -> copy(outer, inner));
	}

	private void copy(Socket from, Socket to) {
		try (InputStream input = from.getInputStream(); OutputStream output = to.getOutputStream()) {
			input.transferTo(output);
		}
		catch (IOException ex) {
			close(from);
		}
		close(to);
		this.sockets.remove(from);
		this.sockets.remove(to);
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "cuttable-link");
		thread.setDaemon(true);
		thread.start();
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		cut();
	}

}
