package sycamorehill.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;

/**
 * TCP link from one node to one target, which a test can break in several ways.
 */
final class TargetLink implements AutoCloseable {

	/** Holds the connections of a burst of requests. */
	private static final int ACCEPT_BACKLOG = 50;

	private static final int FILL_TIMEOUT_MILLIS = 50;

	private static final int MAXIMUM_BIND_ATTEMPTS = 10_000;

	private final Address address = FreePorts.find(1).get(0);

	private final Address target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<Socket> fillers = new ArrayList<>();

	private ServerSocket server;

	private Thread accepting;

	private volatile boolean hanging;

	private TargetLink(Address target) {
		this.target = target;
	}

	static TargetLink to(Address target) throws IOException {
		TargetLink link = new TargetLink(target);
		link.listen();
		return link;
	}

	Address address() {
		return this.address;
	}

	/**
	 * Breaks the link.
	 * @param way how open connections and new ones fail
	 */
	void cut(Way way) throws IOException {
		this.server.close();
		awaitLastAccept();
		switch (way) {
			case RESET -> reset();
			case HANG -> hang();
			case REFUSE_NEW -> {
			}
		}
	}

	// A connection that is accepted while the server is closed is cut with the others.
	private void awaitLastAccept() {
		try {
			this.accepting.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reset() throws IOException {
		for (Socket socket : this.sockets) {
			try {
				socket.setSoLinger(true, 0);
			}
			catch (SocketException ex) {
				this.sockets.remove(socket);
			}
			socket.close();
		}
	}

	// The system drops connection attempts while the accept queue is full.
	private void hang() throws IOException {
		this.hanging = true;
		this.server = bind(1);
		for (boolean full = false; !full;) {
			Socket filler = new Socket();
			this.fillers.add(filler);
			try {
				filler.connect(new InetSocketAddress(this.address.host(), this.address.port()), FILL_TIMEOUT_MILLIS);
			}
			catch (SocketTimeoutException ex) {
				full = true;
			}
		}
	}

	void mend() throws IOException {
		this.server.close();
		for (Socket filler : this.fillers) {
			filler.close();
		}
		this.fillers.clear();
		listen();
		this.hanging = false;
	}

	// The port stays bound until the thread that accepted connections has returned.
	private ServerSocket bind(int backlog) throws IOException {
		for (int attempt = 1; true; attempt++) {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			try {
				socket.bind(new InetSocketAddress(InetAddress.getByName(this.address.host()), this.address.port()),
						backlog);
				return socket;
			}
			catch (BindException ex) {
				socket.close();
				if (attempt == MAXIMUM_BIND_ATTEMPTS) {
					throw ex;
				}
				Thread.onSpinWait();
			}
		}
	}

	private void listen() throws IOException {
		this.server = bind(ACCEPT_BACKLOG);
		ServerSocket listening = this.server;
		this.accepting = start(() -> accept(listening));
	}

	private void accept(ServerSocket listening) {
		while (!listening.isClosed()) {
			try {
				Socket inner = listening.accept();
				Socket outer = new Socket(this.target.host(), this.target.port());
				this.sockets.addAll(List.of(inner, outer));
				start(() -> copy(inner, outer));
				start(() -> copy(outer, inner));
			}
			catch (IOException ex) {
				Thread.onSpinWait();
			}
		}
	}

	private void copy(Socket from, Socket to) {
		byte[] buffer = new byte[8192];
		try (InputStream input = from.getInputStream(); OutputStream output = to.getOutputStream()) {
			for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
				waitWhileHanging();
				output.write(buffer, 0, count);
			}
			waitWhileHanging();
		}
		catch (IOException | InterruptedException ex) {
			this.sockets.remove(from);
		}
		this.sockets.remove(from);
		this.sockets.remove(to);
	}

	private void waitWhileHanging() throws InterruptedException {
		while (this.hanging) {
			Thread.sleep(2);
		}
	}

	private static Thread start(Runnable work) {
		Thread thread = new Thread(work, "target-link");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.hanging = false;
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * How a link breaks.
	 */
	enum Way {

		/** Open connections are reset, and new ones are refused. */
		RESET,

		/** Nothing arrives any more, and new connections are not answered. */
		HANG,

		/** Open connections go on, and new ones are refused. */
		REFUSE_NEW

	}

}
