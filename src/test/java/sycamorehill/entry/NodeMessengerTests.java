package sycamorehill.entry;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests messages between nodes over real sockets.
 */
class NodeMessengerTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	private final BlockingQueue<EntryEvent> receivedEvents = new LinkedBlockingQueue<>();

	private Address receiver;

	private NodeMessenger sender;

	@BeforeEach
	void begin() throws InterruptedException {
		List<Address> free = FreePorts.find(2);
		this.receiver = free.get(0);
		NodeMessenger.of(this.eventLoops.next(), this.receivedEvents::add).start(this.receiver);
		this.sender = NodeMessenger.of(this.eventLoops.next(), (event) -> {
		});
		this.sender.start(free.get(1));
	}

	@AfterEach
	void end() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	private static NodeMessage.StoreUpdate storeUpdate(int changes) {
		List<TargetChange> targetChanges = new ArrayList<>();
		for (int number = 0; number < changes; number++) {
			TargetName name = TargetName.of("i-" + number + "x".repeat(58));
			Membership membership = new Membership("group-" + "y".repeat(57), Long.MAX_VALUE, 15, MemberState.JOINING);
			targetChanges.add(new TargetChange(name,
					Optional.of(new TargetEntry(name, ServiceName.of("s".repeat(63)),
							Address.of("255.255.255.255", 65535), DataCentreName.of("d".repeat(63)), 1000, true,
							Long.MAX_VALUE, Optional.of("domain-" + "z".repeat(56)), Set.of("m".repeat(63)),
							Optional.of("m".repeat(63)), Optional.of(membership)))));
		}
		return new NodeMessage.StoreUpdate("a", NORTH, 5, 1, 100, 100, 103, targetChanges,
				Optional.of(new Lease("one#a", 3, 90)), Duration.ofMillis(210));
	}

	private NodeMessage nextMessage() throws InterruptedException {
		EntryEvent event = this.receivedEvents.poll(5, TimeUnit.SECONDS);
		return (event instanceof EntryEvent.MessageReceived message) ? message.message() : null;
	}

	// Dozens of engines change state when groups form, and the node that reads the store
	// sends all changes to its peers at once. A datagram of more than 2,048 bytes was
	// truncated and dropped, so that each peer read the store itself.
	@Test
	void updateWithManyChangesArrivesComplete() throws InterruptedException {
		for (int changes : new int[] { 1, 24, 130 }) {
			this.sender.send(List.of(this.receiver), storeUpdate(changes));
			assertThat(nextMessage()).as(changes + " changes").isEqualTo(storeUpdate(changes));
		}
	}

	// Hundreds of entries return at once after an outage. If more datagrams were sent
	// than the receive buffer holds, some would be lost and the others useless. The peers
	// are only notified of the changes and read them from the store.
	@Test
	void tooManyChangesAreOnlyAnnounced() throws InterruptedException {
		this.sender.send(List.of(this.receiver), storeUpdate(400));
		assertThat(nextMessage()).isEqualTo(new NodeMessage.StoreUpdate("a", NORTH, 5, 1, 103, 103, 103, List.of(),
				Optional.of(new Lease("one#a", 3, 90)), Duration.ofMillis(210)));
	}

	// Bytes of another program or version arrive on the port: the next message must still
	// be read.
	@Test
	void invalidDatagramDoesNotAffectNextMessage() throws Exception {
		try (DatagramSocket socket = new DatagramSocket()) {
			for (byte[] bytes : List.of(new byte[] { 1 }, new byte[0], "no message".getBytes(), new byte[1400])) {
				socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getByName(this.receiver.host()),
						this.receiver.port()));
			}
		}
		this.sender.send(List.of(this.receiver), storeUpdate(1));
		assertThat(nextMessage()).isEqualTo(storeUpdate(1));
	}

}
