package sycamorehill.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.peer.PeerMessage;

/**
 * Runs the transport of a node on a free port and records its events and log lines.
 */
final class PeerNode implements AutoCloseable {

	private static final Address ANY = Address.of("127.0.0.1", 1);

	final BlockingQueue<PeerEvent> events = new LinkedBlockingQueue<>();

	final BlockingQueue<LogLine> log = new LinkedBlockingQueue<>();

	final NettyPeerTransport transport;

	private final String name;

	private PeerNode(String name, String secret, PeerMessageCodec codec) {
		this.name = name;
		PeerContext context = new PeerContext(identity(name, ANY), secret.getBytes(StandardCharsets.UTF_8), codec,
				PeerCounters.create(), this.events::add, this.log::add);
		this.transport = NettyPeerTransport.start(context, ANY, 0);
	}

	static PeerNode start(String name) {
		return start(name, "secret", codec());
	}

	static PeerNode start(String name, String secret, PeerMessageCodec codec) {
		return new PeerNode(name, secret, codec);
	}

	static PeerMessageCodec codec() {
		return PeerMessageCodec.empty().register("note", Note.class);
	}

	static NodeIdentity identity(String name, Address address) {
		return new NodeIdentity(NodeIncarnation.of(NodeName.of(name), 7), DataCentreName.of("here"), address);
	}

	NodeIdentity identity() {
		return identity(this.name, this.transport.listenAddress());
	}

	PeerEvent nextEvent() throws InterruptedException {
		return this.events.poll(20, TimeUnit.SECONDS);
	}

	LogLine nextLog() throws InterruptedException {
		return this.log.poll(20, TimeUnit.SECONDS);
	}

	PeerMessage nextMessage() throws InterruptedException {
		return (nextEvent() instanceof PeerEvent.MessageReceived received) ? received.message() : null;
	}

	@Override
	public void close() {
		this.transport.close();
	}

	/**
	 * A message type of the tests.
	 *
	 * @param text some text
	 * @param numbers some numbers
	 */
	record Note(String text, List<Long> numbers) implements PeerMessage {

		static Note of(String text) {
			return new Note(text, List.of());
		}

	}

	/**
	 * The message type {@link Note} in a later version.
	 *
	 * @param text some text
	 * @param numbers some numbers
	 * @param colour a field that the earlier version doesn't know
	 */
	record LaterNote(String text, List<Long> numbers, String colour) implements PeerMessage {
	}

	/**
	 * A message type that an earlier version doesn't know.
	 *
	 * @param text some text
	 */
	record UnknownMessage(String text) implements PeerMessage {
	}

}
