package sycamorehill.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

import sycamorehill.model.identity.Address;

/**
 * Relays one connection and records what the connecting end sends.
 */
final class RecordingProxy implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

	private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();

	private final Address target;

	RecordingProxy(Address target) throws IOException {
		this.target = target;
		startThread(this::relay);
	}

	Address address() {
		return Address.of("127.0.0.1", this.listener.getLocalPort());
	}

	byte[] recorded() {
		synchronized (this.recorded) {
			return this.recorded.toByteArray();
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void relay() throws IOException {
		try (Socket dialling = this.listener.accept();
				Socket accepting = new Socket(this.target.host(), this.target.port())) {
			startThread(() -> copy(accepting.getInputStream(), dialling.getOutputStream(), false));
			copy(dialling.getInputStream(), accepting.getOutputStream(), true);
		}
	}

	private void copy(InputStream from, OutputStream to, boolean record) throws IOException {
		byte[] buffer = new byte[4096];
		for (int count = from.read(buffer); count >= 0; count = from.read(buffer)) {
			if (record) {
				synchronized (this.recorded) {
					this.recorded.write(buffer, 0, count);
				}
			}
			to.write(buffer, 0, count);
		}
	}

	private static void startThread(InputOutputTask work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (IOException ex) {
				// the connection is closed: nothing is left to relay
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private interface InputOutputTask {

		void run() throws IOException;

	}

}
