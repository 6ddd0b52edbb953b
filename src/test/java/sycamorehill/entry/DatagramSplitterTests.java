package sycamorehill.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests splitting and assembling messages that are larger than a datagram.
 */
class DatagramSplitterTests {

	private static final InetSocketAddress FIRST_SENDER = new InetSocketAddress("127.0.0.1", 7001);

	private static final InetSocketAddress SECOND_SENDER = new InetSocketAddress("127.0.0.1", 7002);

	private final DatagramAssembler assembler = DatagramAssembler.create();

	private static byte[] message(int size, int seed) {
		byte[] bytes = new byte[size];
		new Random(seed).nextBytes(bytes);
		return bytes;
	}

	private Optional<byte[]> assemble(InetSocketAddress sender, List<byte[]> datagrams) throws Exception {
		Optional<byte[]> assembled = Optional.empty();
		for (byte[] datagram : datagrams) {
			assertThat(assembled).isEmpty();
			assembled = this.assembler.add(sender, datagram, 0);
		}
		return assembled;
	}

	// A datagram larger than the MTU of the path is fragmented, and is lost if any
	// fragment is lost.
	@Test
	void noDatagramIsLargerThanAFrame() {
		for (int size : new int[] { 0, 1, 1300, 1400, 5000, 90_000 }) {
			assertThat(DatagramSplitter.split(message(size, 1), 7)).allMatch((datagram) -> datagram.length <= 1400);
		}
	}

	@Test
	void partsThatArriveInAnyOrderAreAssembled() throws Exception {
		byte[] sent = message(9000, 2);
		List<byte[]> datagrams = DatagramSplitter.split(sent, 7);
		assertThat(datagrams).hasSizeGreaterThan(1);
		Collections.shuffle(datagrams, new Random(3));
		assertThat(assemble(FIRST_SENDER, datagrams)).hasValue(sent);
	}

	// Two nodes may use the same message number: their parts must not be mixed.
	@Test
	void partsOfTwoSendersAreKeptApart() throws Exception {
		List<byte[]> partsOfOne = DatagramSplitter.split(message(2000, 4), 7);
		List<byte[]> partsOfTwo = DatagramSplitter.split(message(2000, 5), 7);
		assertThat(this.assembler.add(FIRST_SENDER, partsOfOne.get(0), 0)).isEmpty();
		assertThat(this.assembler.add(SECOND_SENDER, partsOfTwo.get(1), 0)).isEmpty();
		assertThat(this.assembler.add(SECOND_SENDER, partsOfTwo.get(0), 0)).hasValue(message(2000, 5));
		assertThat(this.assembler.add(FIRST_SENDER, partsOfOne.get(1), 0)).hasValue(message(2000, 4));
	}

	@Test
	void duplicatePartCountsOnce() throws Exception {
		List<byte[]> datagrams = DatagramSplitter.split(message(2000, 6), 7);
		this.assembler.add(FIRST_SENDER, datagrams.get(0), 0);
		assertThat(this.assembler.add(FIRST_SENDER, datagrams.get(0), 0)).isEmpty();
		assertThat(this.assembler.add(FIRST_SENDER, datagrams.get(1), 0)).isPresent();
	}

	// A node whose link loses packets causes several incomplete messages per second,
	// which must not fill the memory.
	@Test
	void incompleteMessagesAreDiscarded() throws Exception {
		for (int number = 0; number < 10_000; number++) {
			this.assembler.add(FIRST_SENDER, DatagramSplitter.split(message(2000, 8), number).get(0), 0);
		}
		assertThat(this.assembler.incompleteCount()).isLessThan(200);
		this.assembler.add(FIRST_SENDER, DatagramSplitter.split(message(2000, 8), 1).get(0),
				Duration.ofSeconds(5).toNanos());
		assertThat(this.assembler.incompleteCount()).isEqualTo(1);
	}

	@Test
	void partWithAnotherPartCountIsRefused() throws Exception {
		this.assembler.add(FIRST_SENDER, DatagramSplitter.split(message(2000, 9), 7).get(0), 0);
		assertThatThrownBy(
				() -> this.assembler.add(FIRST_SENDER, DatagramSplitter.split(message(9000, 9), 7).get(5), 0))
			.isInstanceOf(java.io.IOException.class);
	}

	// Seven bytes that state a length of 2 GB must not fill the heap of the receiver.
	@Test
	void partThatStatesMoreBytesThanTheDatagramHasIsRefused() {
		byte[] datagram = { 1, 0, 1, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xf0 };
		assertThatThrownBy(() -> this.assembler.add(FIRST_SENDER, datagram, 0)).isInstanceOf(java.io.IOException.class);
	}

}
