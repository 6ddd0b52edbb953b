package sycamorehill.entry;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;

/**
 * Node that a test plays for the node "one", which reaches no target: it answers each
 * frame as the test says. Until the test begins, it has no target either.
 */
final class PlayedNode implements AutoCloseable {

	private final ServerSocket server;

	private final BiConsumer<ProxyFrame, Connection> behaviour;

	private final List<ProxyFrame> received = new CopyOnWriteArrayList<>();

	private volatile boolean tested;

	/** Number of connections that the other node has reset. */
	private volatile int resets;

	private PlayedNode(ServerSocket server, BiConsumer<ProxyFrame, Connection> behaviour) {
		this.server = server;
		this.behaviour = behaviour;
	}

	static PlayedNode start(BiConsumer<ProxyFrame, Connection> behaviour) throws IOException {
		PlayedNode node = new PlayedNode(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")), behaviour);
		Thread thread = new Thread(node::acceptAll, "other-node");
		thread.setDaemon(true);
		thread.start();
		return node;
	}

	/**
	 * Starts the node "one", which reaches no target and knows this one, and begins the
	 * test.
	 * @return the cluster of the node
	 */
	LoopbackCluster startOrigin() throws Exception {
		NodeRecord other = new NodeRecord("two", Address.of("127.0.0.1", 1), DataCentreName.of("north"), 0.75,
				Optional.of(Address.of("127.0.0.1", this.server.getLocalPort())));
		LoopbackCluster cluster = LoopbackCluster.start(LoopbackCluster::hello,
				(request) -> LoopbackCluster.events(request, 1, 2, true), List.of(other), "one");
		cluster.cut("one", TargetLink.Way.RESET);
		for (int request = 0; request < 8; request++) {
			cluster.ask("one", "/again/x", "warm" + request);
			cluster.ask("one", "/stream/x", "warm" + request);
		}
		Thread.sleep(500);
		this.received.clear();
		this.tested = true;
		return cluster;
	}

	/**
	 * Returns the frames that the other node has sent, with null for each end of a
	 * connection.
	 * @return the frames since the test began
	 */
	List<ProxyFrame> received() {
		return this.received;
	}

	int resets() {
		return this.resets;
	}

	static boolean endsBody(ProxyFrame frame) {
		return frame instanceof ProxyFrame.Body;
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				Thread thread = new Thread(() -> serve(socket), "other-node-connection");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			Connection connection = new Connection(socket, new DataOutputStream(socket.getOutputStream()));
			DataInputStream in = new DataInputStream(socket.getInputStream());
			while (true) {
				byte[] bytes = new byte[in.readInt()];
				in.readFully(bytes);
				ProxyFrame frame = ProxyFrameCodec.read(bytes);
				this.received.add(frame);
				if (this.tested) {
					this.behaviour.accept(frame, connection);
				}
				else if (endsBody(frame)) {
					connection.send(new ProxyFrame.End(Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NO_TARGET)));
				}
			}
		}
		catch (EOFException ex) {
			this.received.add(null);
		}
		catch (SocketException ex) {
			this.resets++;
			this.received.add(null);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * This node's end of a connection.
	 *
	 * @param socket the connection
	 * @param out writes to it
	 */
	record Connection(Socket socket, DataOutputStream out) {

		void send(ProxyFrame frame) {
			try {
				byte[] bytes = ProxyFrameCodec.create().write(frame);
				this.out.writeInt(bytes.length);
				this.out.write(bytes);
				this.out.flush();
			}
			catch (IOException ex) {
				close();
			}
		}

		void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
