package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.support.CountingAllocator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests splitting a stream into events.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\ndata: b\ndata: id: 9\n\ndata: c\n\n";

	// The same complete events must result for any division of the bytes into packets.
	@Test
	void findsSameEventsForAnyChunking() {
		for (int seed = 0; seed < 200; seed++) {
			assertThat(split(STREAM, new Random(seed))).containsExactly("1:id: 1\ndata: a\n\n",
					"2:weight-versions: 2\nid:2\ndata: b\ndata: id: 9\n\n", "-:data: c\n\n");
		}
	}

	// An engine crashes within an event: the partial event must be held back and reported
	// as present.
	@Test
	void holdsPartialEventBack() {
		EventSplitter splitter = EventSplitter.create(UnpooledByteBufAllocator.DEFAULT);
		List<String> events = new ArrayList<>();
		splitter.append(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", StandardCharsets.UTF_8),
				(event, number) -> {
					events.add(event.toString(StandardCharsets.UTF_8));
					event.release();
				});
		assertThat(events).containsExactly("id: 1\ndata: a\n\n");
		assertThat(splitter.hasPartialEvent()).isTrue();
		splitter.release();
	}

	// Guards against an event loop that searches an unfinished line again with each piece
	// of it, so that the work grows with the square of the line.
	@ParameterizedTest
	@ValueSource(strings = { "token ", "data: token\n", "data: token \r", "\r", "id: 7" })
	void twiceTheBytesOfAnEndlessEventTakeTwiceTheWork(String piece) {
		long once = searchedBytes(piece, 20_000);
		long twice = searchedBytes(piece, 40_000);
		assertThat(once).isLessThanOrEqualTo(2L * 20_000 * piece.length());
		assertThat(twice).isLessThanOrEqualTo(2 * once + 100);
	}

	private static long searchedBytes(String piece, int pieces) {
		CountingAllocator allocator = CountingAllocator.create();
		EventSplitter splitter = EventSplitter.create(allocator);
		for (int index = 0; index < pieces; index++) {
			splitter.append(Unpooled.copiedBuffer(piece, StandardCharsets.UTF_8), (event, number) -> event.release());
		}
		splitter.release();
		return allocator.searchedBytes();
	}

	private static List<String> split(String stream, Random random) {
		EventSplitter splitter = EventSplitter.create(UnpooledByteBufAllocator.DEFAULT);
		List<String> events = new ArrayList<>();
		byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
		int from = 0;
		while (from < bytes.length) {
			int length = Math.min(bytes.length - from, 1 + random.nextInt(12));
			splitter.append(Unpooled.wrappedBuffer(bytes, from, length), (event, number) -> {
				events.add((number.isPresent() ? String.valueOf(number.getAsLong()) : "-") + ":"
						+ event.toString(StandardCharsets.UTF_8));
				event.release();
			});
			from += length;
		}
		assertThat(splitter.hasPartialEvent()).isFalse();
		splitter.release();
		return events;
	}

}
