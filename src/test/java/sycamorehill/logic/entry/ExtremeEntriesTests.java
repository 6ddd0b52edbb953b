package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * Tests the decisions of a node with entries whose numbers are as large or as small as an
 * entry may have them.
 */
class ExtremeEntriesTests {

	private static final long LARGEST = 1L << 53;

	private static final Duration STEP = Duration.ofMillis(100);

	private static final int STEPS = 200;

	private final EntryReducer node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1),
			Instant.EPOCH);

	private static TargetEntry with(TargetEntry entry, int slots, long startMillis, Duration warmUpLeft) {
		return new TargetEntry(entry.name(), entry.service(), entry.address(), entry.dataCentre(), slots, false,
				startMillis, entry.domain(), entry.staged(), entry.loaded(), entry.membership(), warmUpLeft);
	}

	private static TargetEntry member(String name, long epoch, int rank) {
		TargetEntry engine = ServingSamples.engine(name, "d0");
		return new TargetEntry(engine.name(), engine.service(), engine.address(), engine.dataCentre(), 12, false, 1,
				engine.domain(), Set.of("small"), Optional.of("small"),
				Optional.of(new Membership("small.1", epoch, rank, MemberState.OPEN)));
	}

	private static List<TargetEntry> entries() {
		return List.of(ServingSamples.plain("sound"), with(ServingSamples.plain("a"), 1, 0, Duration.ZERO),
				with(ServingSamples.plain("b"), TargetEntry.MAXIMUM_SLOTS, LARGEST, TargetEntry.MAXIMUM_WARM_UP),
				with(ServingSamples.plain("c"), 1, LARGEST, Duration.ofMillis(1)), member("d", LARGEST, 0),
				member("e", LARGEST, 100_000), member("f", 0, 100_000), member("g", 0, 0));
	}

	// Guards against arithmetic that fails in each step of a node because of one entry.
	@Test
	@Timeout(60)
	void noDecisionFailsWithExtremeEntries() {
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1), 0);
		accept(new EntryEvent.TargetsListed(entries(), 10), 0);
		accept(new EntryEvent.LeaseAnswered(new LeaseAnswer.Present(new Lease("one#1", 41, 41), true)), 0);
		for (int step = 1; step <= STEPS; step++) {
			accept(new EntryEvent.Ticked(), step);
			accept(new EntryEvent.RequestArrived(ServingSamples.request(2L * step, "/again/x")), step);
			accept(new EntryEvent.RequestArrived(ServingSamples.request(2L * step + 1, "/stream/x")), step);
			List<TargetChange> changes = entries().stream()
				.map((entry) -> new TargetChange(entry.name(), Optional.of(entry)))
				.toList();
			accept(new EntryEvent.TargetsChanged(changes, 9 + step, 10 + step), step);
		}
	}

	private void accept(EntryEvent event, int step) {
		this.node.accept(event, Instant.EPOCH.plus(STEP.multipliedBy(step)));
	}

}
