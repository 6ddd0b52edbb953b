package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests an entry node as a whole.
 */
class EntryReducerTests {

	private final Instant start = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	@BeforeEach
	void setUp() {
		this.node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(1), this.start);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 0);
		accept(new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1"), ServingSamples.plain("p2")), 10), 0);
	}

	private List<EntryEffect> accept(EntryEvent event, long millis) {
		return this.node.accept(event, this.start.plus(Duration.ofMillis(millis)));
	}

	private static boolean startsAttempt(List<EntryEffect> effects) {
		return effects.stream().anyMatch(EntryEffect.StartAttempt.class::isInstance);
	}

	// A node is asked to stop and keeps accepting what the load balancer still sends. A
	// stream that arrives seconds later would be aborted when the process exits, so it is
	// refused as not run.
	@Test
	void aStoppingNodeAcceptsRequestsOnlyAsLongAsItCanFinishThem() {
		List<EntryEffect> stopping = accept(new EntryEvent.StopRequested(), 100);
		assertThat(stopping).contains(new EntryEffect.SetReadiness(false));
		assertThat(startsAttempt(accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")), 2000)))
			.isTrue();
		List<EntryEffect> late = accept(new EntryEvent.RequestArrived(ServingSamples.request(2, "/again/x")), 5700);
		assertThat(startsAttempt(late)).isFalse();
		assertThat(late).anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503
				&& answer.retryAfter().isPresent());
	}

	// The store loses its latest writes and returns an older version for a moment: the
	// newer routes stay in effect.
	@Test
	void theConfigurationVersionNeverDecreases() {
		assertThat(accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(4), 1), 10))
			.noneMatch(EntryEffect.SetCallerLimits.class::isInstance);
		assertThat(accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(6), 1), 20))
			.anyMatch(EntryEffect.SetCallerLimits.class::isInstance);
	}

	@Test
	void isReadyOnceConfigurationAndTargetsAreKnown() {
		EntryReducer fresh = EntryReducer.of(ServingSamples.settings("one"), "one#2", new Random(1), this.start);
		assertThat(fresh.accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1), this.start))
			.doesNotContain(new EntryEffect.SetReadiness(true));
		assertThat(fresh.accept(new EntryEvent.TargetsListed(List.of(), 10), this.start))
			.contains(new EntryEffect.SetReadiness(true));
	}

	@Test
	void sendsItsLoadsToTheOtherNodes() {
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("two", 7100))), 100);
		assertThat(accept(new EntryEvent.Ticked(), 400)).anyMatch(
				(effect) -> effect instanceof EntryEffect.Send send && send.message() instanceof NodeMessage.Loads);
	}

	// All nodes start at once after a power failure, and callers reach this one 0.2 s
	// before it has read its configuration. Refused callers retry 0.3 to 0.8 s later, if
	// at all, and are late in any case.
	@Test
	void aRequestThatArrivesBeforeTheConfigurationIsServedOnceItIsRead() {
		EntryReducer fresh = EntryReducer.of(ServingSamples.settings("one"), "one#2", new Random(1), this.start);
		assertThat(fresh.accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")), this.start))
			.isEmpty();
		fresh.accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1), this.start.plusMillis(200));
		List<EntryEffect> listed = fresh.accept(new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1")), 10),
				this.start.plusMillis(250));
		assertThat(startsAttempt(listed)).isTrue();
		assertThat(listed).contains(new EntryEffect.LimitRequestTime(1, Duration.ofMillis(5750)));
	}

	// The store is unreachable when the node starts, nobody knows for how long, so
	// callers are refused at once. A queued request waits no longer than a start takes.
	@Test
	void aRequestDoesNotWaitForAnUnreachableStore() {
		EntryReducer fresh = EntryReducer.of(ServingSamples.settings("one"), "one#2", new Random(1), this.start);
		fresh.accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")), this.start);
		assertThat(isRefused(fresh.accept(new EntryEvent.Ticked(), this.start.plusMillis(900)))).isTrue();
		fresh.accept(new EntryEvent.RequestArrived(ServingSamples.request(2, "/again/x")), this.start.plusMillis(1000));
		assertThat(isRefused(fresh.accept(new EntryEvent.DirectoryUnreachable(), this.start.plusMillis(1050))))
			.isTrue();
		assertThat(isRefused(fresh.accept(new EntryEvent.RequestArrived(ServingSamples.request(3, "/again/x")),
				this.start.plusMillis(1100))))
			.isTrue();
	}

	@Test
	void aQueuedRequestIsDroppedWhenItsCallerDisconnects() {
		EntryReducer fresh = EntryReducer.of(ServingSamples.settings("one"), "one#2", new Random(1), this.start);
		fresh.accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")), this.start);
		fresh.accept(new EntryEvent.CallerDisconnected(1, false), this.start.plusMillis(100));
		fresh.accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1), this.start.plusMillis(200));
		assertThat(startsAttempt(fresh.accept(new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1")), 10),
				this.start.plusMillis(250))))
			.isFalse();
	}

	private static boolean isRefused(List<EntryEffect> effects) {
		return effects.stream()
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503
					&& answer.retryAfter().isPresent());
	}

}
