package sycamorehill.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.peer.PeerNode.LaterNote;
import sycamorehill.peer.PeerNode.Note;
import sycamorehill.peer.PeerNode.UnknownMessage;

@Timeout(60)
class NettyPeerTransportTests {

	private static final byte[] INVALID_FRAME = { 0, 0, 0, 20, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16,
			17, 18, 19, 20 };

	@Test
	void messageArrivesWithItsSender() throws Exception {
		try (PeerNode one = PeerNode.start("n1"); PeerNode two = PeerNode.start("n2")) {
			Note note = new Note("hay", List.of(1L, Long.MAX_VALUE));
			one.transport.send(two.identity(), note).get(20, TimeUnit.SECONDS);
			PeerEvent.MessageReceived received = (PeerEvent.MessageReceived) two.nextEvent();
			Assertions.assertThat(received.message()).isEqualTo(note);
			Assertions.assertThat(received.from().incarnation()).isEqualTo(one.identity().incarnation());
		}
	}

	@Test
	void messagesKeepTheirOrder() throws Exception {
		try (PeerNode one = PeerNode.start("n1"); PeerNode two = PeerNode.start("n2")) {
			for (int i = 0; i < 300; i++) {
				one.transport.send(two.identity(), Note.of("m" + i));
			}
			for (int i = 0; i < 300; i++) {
				Assertions.assertThat(two.nextMessage()).isEqualTo(Note.of("m" + i));
			}
		}
	}

	@Test
	void messagesOfNewerVersionAreRead() throws Exception {
		// During a rolling upgrade, a new node sends an additional field and a new
		// message
		// type. If the old node rejected the connection, it could not do its part until
		// all nodes are upgraded.
		PeerMessageCodec later = PeerMessageCodec.empty()
			.register("note", LaterNote.class)
			.register("novelty", UnknownMessage.class);
		try (PeerNode newer = PeerNode.start("n1", "secret", later); PeerNode older = PeerNode.start("n2")) {
			newer.transport.send(older.identity(), new UnknownMessage("new"));
			newer.transport.send(older.identity(), new LaterNote("hay", List.of(), "green"));
			Assertions.assertThat(older.nextMessage()).isEqualTo(Note.of("hay"));
			Assertions.assertThat(older.transport.counters().unknownTypes()).isEqualTo(1);
		}
	}

	@Test
	void connectionWithWrongSecretIsRefused() throws Exception {
		// A node that doesn't know the secret reports a target as gone. Nothing that it
		// sends may become an event.
		try (PeerNode unauthenticated = PeerNode.start("n1", "guessed", PeerNode.codec());
				PeerNode node = PeerNode.start("n2")) {
			unauthenticated.transport.send(node.identity(), Note.of("false report"));
			Assertions.assertThat(node.nextLog().event()).isEqualTo(LogEvent.PEER_CONNECTION_REFUSED);
			Assertions.assertThat(node.events).isEmpty();
		}
	}

	@Test
	void replayedConnectionIsRefused() throws Exception {
		// An attacker replays a recorded connection, by which an old claim or report
		// would
		// be accepted as a new one. The receiver sends another challenge, so the code of
		// the first frame is already wrong.
		try (PeerNode one = PeerNode.start("n1");
				PeerNode two = PeerNode.start("n2");
				RecordingProxy recorder = new RecordingProxy(two.transport.listenAddress())) {
			one.transport.send(PeerNode.identity("n2", recorder.address()), Note.of("once"));
			Assertions.assertThat(two.nextMessage()).isEqualTo(Note.of("once"));
			try (Socket again = connect(two)) {
				again.getOutputStream().write(recorder.recorded());
				Assertions.assertThat(two.nextLog().detail()).contains("wrong message authentication code");
			}
			Assertions.assertThat(two.events).isEmpty();
		}
	}

	@Test
	void connectionMeantForAnotherNodeIsRefused() throws Exception {
		// The address of n3 leads to n2, by mistake or by an attack. n2 must not accept
		// messages meant for n3.
		try (PeerNode one = PeerNode.start("n1"); PeerNode two = PeerNode.start("n2")) {
			one.transport.send(PeerNode.identity("n3", two.transport.listenAddress()), Note.of("for n3"));
			Assertions.assertThat(two.nextLog().detail()).contains("it means the node n3");
			Assertions.assertThat(two.events).isEmpty();
		}
	}

	@Test
	void invalidFrameClosesOnlyItsOwnConnection() throws Exception {
		try (PeerNode one = PeerNode.start("n1"); PeerNode two = PeerNode.start("n2"); Socket garbage = connect(two)) {
			one.transport.send(two.identity(), Note.of("before"));
			Assertions.assertThat(two.nextMessage()).isEqualTo(Note.of("before"));
			garbage.getOutputStream().write(INVALID_FRAME);
			Assertions.assertThat(two.nextLog().event()).isEqualTo(LogEvent.PEER_CONNECTION_REFUSED);
			Assertions.assertThat(readToEnd(garbage)).isTrue();
			one.transport.send(two.identity(), Note.of("after"));
			Assertions.assertThat(two.nextMessage()).isEqualTo(Note.of("after"));
			Assertions.assertThat(two.log).isEmpty();
		}
	}

	@Test
	void largeFrameBeforeAuthenticationIsRefused() throws Exception {
		try (PeerNode node = PeerNode.start("n2"); Socket unauthenticated = connect(node)) {
			int length = PeerProtocol.MAXIMUM_UNAUTHENTICATED_FRAME_BYTES + 1;
			unauthenticated.getOutputStream().write(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
			Assertions.assertThat(node.nextLog().detail()).contains("a frame of " + length + " bytes");
			Assertions.assertThat(readToEnd(unauthenticated)).isTrue();
		}
	}

	@Test
	void messageLargerThanAFrameIsRefusedBySender() throws Exception {
		try (PeerNode one = PeerNode.start("n1"); PeerNode two = PeerNode.start("n2")) {
			Note large = Note.of("x".repeat(PeerProtocol.MAXIMUM_FRAME_BYTES));
			Assertions.assertThat(one.transport.send(two.identity(), large)).failsWithin(20, TimeUnit.SECONDS);
			Assertions.assertThat(((PeerEvent.SendFailed) one.nextEvent()).message()).isEqualTo(large);
			Assertions.assertThat(one.nextLog().event()).isEqualTo(LogEvent.PEER_MESSAGE_TOO_LARGE);
		}
	}

	@Test
	void unreachableNodeIsReported() throws Exception {
		try (PeerNode one = PeerNode.start("n1")) {
			Address nobody = freeAddress();
			Assertions.assertThat(one.transport.send(PeerNode.identity("n2", nobody), Note.of("lost")))
				.failsWithin(20, TimeUnit.SECONDS);
			Assertions.assertThat(one.nextEvent()).isInstanceOf(PeerEvent.SendFailed.class);
		}
	}

	@Test
	void queueForSilentNodeIsBounded() throws Exception {
		// The kernel of a paused node still accepts connections, but the node sends
		// nothing. Pending messages must not fill the sender's 64 MB of memory.
		try (PeerNode one = PeerNode.start("n1"); ServerSocket silent = listen()) {
			Address address = Address.of("127.0.0.1", silent.getLocalPort());
			List<CompletableFuture<Void>> sent = new ArrayList<>();
			for (int i = 0; i < 2 * PeerLink.MAXIMUM_PENDING_MESSAGES; i++) {
				sent.add(one.transport.send(PeerNode.identity("n2", address), Note.of("m" + i)));
			}
			long failedAtOnce = sent.stream().filter(CompletableFuture::isCompletedExceptionally).count();
			Assertions.assertThat(failedAtOnce).isGreaterThanOrEqualTo(PeerLink.MAXIMUM_PENDING_MESSAGES);
			Assertions.assertThat(one.nextEvent()).isInstanceOf(PeerEvent.SendFailed.class);
		}
	}

	@Test
	void restartedNodeReceivesMessagesAtItsNewAddress() throws Exception {
		// A node is replaced while its old process hangs and keeps its connections open.
		// Messages to the new process must not go to the old one.
		try (PeerNode one = PeerNode.start("n1");
				PeerNode before = PeerNode.start("n2");
				PeerNode after = PeerNode.start("n2")) {
			one.transport.send(before.identity(), Note.of("before")).get(20, TimeUnit.SECONDS);
			Assertions.assertThat(before.nextMessage()).isEqualTo(Note.of("before"));
			one.transport.send(after.identity(), Note.of("after")).get(20, TimeUnit.SECONDS);
			Assertions.assertThat(after.nextMessage()).isEqualTo(Note.of("after"));
		}
	}

	private static Socket connect(PeerNode node) throws IOException {
		Address address = node.transport.listenAddress();
		return new Socket(address.host(), address.port());
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
	}

	private static Address freeAddress() throws IOException {
		try (ServerSocket socket = listen()) {
			return Address.of("127.0.0.1", socket.getLocalPort());
		}
	}

	private static boolean readToEnd(Socket socket) throws IOException {
		InputStream input = socket.getInputStream();
		try {
			while (input.read() >= 0) {
				continue;
			}
		}
		catch (SocketException ex) {
			return true;
		}
		return true;
	}

}
