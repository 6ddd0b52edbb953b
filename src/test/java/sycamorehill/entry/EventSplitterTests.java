package sycamorehill.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cutting streams into events.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\ndata: b\ndata: id: 9\n\ndata: c\n\n";

	// However the network cuts the bytes, the same whole events come out.
	@Test
	void findsSameEventsForAnyChunking() {
		for (int seed = 0; seed < 200; seed++) {
			assertThat(split(STREAM, new Random(seed))).containsExactly("1:id: 1\ndata: a\n\n",
					"2:weight-versions: 2\nid:2\ndata: b\ndata: id: 9\n\n", "-:data: c\n\n");
		}
	}

	// An engine dies within an event: the part is kept back, and known to be there.
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
