package sycamorehill.runtime;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.Temporal;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against leases, timeouts and ages that follow the wall clock. On some VMs it
 * jumps by 40 minutes in either direction, also while a process starts. Time is therefore
 * measured from the start of the process, and nodes exchange no wall-clock times.
 */
class ClockJumpTests {

	private static final Duration JUMP = Duration.ofMinutes(40);

	// If the clock followed the jump, a lease would expire at once and every request
	// would time out.
	@Test
	void monotonicClockIgnoresWallClockJumps() {
		List<Instant> wallClockReadings = new ArrayList<>();
		Instant wallClockStart = Instant.ofEpochSecond(1_000_000);
		MonotonicClock clock = MonotonicClock.start(() -> {
			wallClockReadings.add(wallClockStart);
			return (wallClockReadings.size() == 1) ? wallClockStart : wallClockStart.minus(JUMP);
		});
		Instant first = clock.instant();
		Instant second = clock.instant();
		assertThat(first).isBetween(wallClockStart, wallClockStart.plusSeconds(60));
		assertThat(second).isBetween(first, first.plusSeconds(60));
		assertThat(wallClockReadings).hasSize(1);
	}

	// Two nodes whose clocks differ by 40 minutes would each treat the other's updates as
	// outdated or as not yet valid.
	@Test
	void messagesAndStoreRecordsContainNoTimestamps() {
		Stream<Class<?>> transmittedTypes = Stream.concat(Stream.of(NodeMessage.class.getPermittedSubclasses()),
				Stream.of(Lease.class, NodeRecord.class));
		assertThat(
				transmittedTypes.flatMap((type) -> Stream.of(type.getRecordComponents())).map(RecordComponent::getType))
			.isNotEmpty()
			.noneMatch(Temporal.class::isAssignableFrom);
	}

}
