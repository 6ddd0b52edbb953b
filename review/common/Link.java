import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A network path to an engine. While it is cut, nothing passes and new connections hang; what was held up passes when
 * it heals, as on a path between two machines.
 */
final class Link implements AutoCloseable {

	private final ServerSocket listener;

	private final int enginePort;

	private final List<Socket> fillers = new ArrayList<>();

	private volatile boolean cut;

	Link(int enginePort) throws IOException {
		this.enginePort = enginePort;
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress("127.0.0.1", 0), 1);
		daemon(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "link");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				awaitHealed();
				Socket near = this.listener.accept();
				awaitHealed();
				if (this.fillers.stream().anyMatch((each) -> each.getLocalPort() == near.getPort())) {
					near.close();
					continue;
				}
				Socket far = new Socket();
				try {
					far.connect(new InetSocketAddress("127.0.0.1", this.enginePort), 1000);
				}
				catch (IOException ex) {
					near.setSoLinger(true, 0);
					near.close();
					continue;
				}
				near.setTcpNoDelay(true);
				far.setTcpNoDelay(true);
				daemon(() -> relay(near, far));
				daemon(() -> relay(far, near));
			}
			catch (IOException ex) {
				// the next one
			}
		}
	}

	private void relay(Socket from, Socket to) {
		byte[] bytes = new byte[8192];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
				awaitHealed();
				output.write(bytes, 0, count);
				output.flush();
			}
			awaitHealed();
			to.shutdownOutput();
		}
		catch (IOException ex) {
			awaitHealed();
			try {
				to.setSoLinger(true, 0);
				to.close();
			}
			catch (IOException ignored) {
				// closed already
			}
		}
	}

	private void awaitHealed() {
		while (this.cut) {
			try {
				Thread.sleep(2);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/** Cuts the path: fills the queue of new connections, so that further ones get no answer. */
	void cut() throws IOException {
		this.cut = true;
		for (int count = 0; count < 4; count++) {
			Socket filler = new Socket();
			try {
				filler.connect(this.listener.getLocalSocketAddress(), 100);
			}
			catch (IOException ex) {
				filler.close();
				return;
			}
			this.fillers.add(filler);
		}
	}

	void heal() throws IOException {
		this.cut = false;
	}

	@Override
	public void close() throws IOException {
		this.cut = false;
		this.listener.close();
	}

}
