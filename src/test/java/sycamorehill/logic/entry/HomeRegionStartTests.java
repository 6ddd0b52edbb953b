package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.support.ServingSamples;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the home regions of requests that wait for the start of a node, and the log lines
 * of configurations with unknown regions.
 */
class HomeRegionStartTests {

	private final Instant start = Instant.ofEpochSecond(1000);

	private final EntryReducer node = EntryReducer.of(TwoRegions.settings("one"), "one#1", new Random(1), this.start);

	private List<EntryEffect> accept(EntryEvent event, long millis) {
		return this.node.accept(event, this.start.plusMillis(millis));
	}

	private List<EntryEffect> configure(long version, Set<RegionName> ofRoutes, Set<RegionName> ofWorkspaces,
			long millis) {
		return accept(
				new EntryEvent.ConfigurationRead(TwoRegions.configuration(version, ofRoutes, ofWorkspaces), version),
				millis);
	}

	private static Stream<String> unknownRegions(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Log.class::isInstance)
			.map((effect) -> ((EntryEffect.Log) effect).line())
			.filter((line) -> line.event() == LogEvent.HOME_REGION_UNKNOWN)
			.map((line) -> line.detail());
	}

	// A request that came before the configuration is released with it, before all
	// targets of the home regions may be known.
	@Test
	void aRequestThatWaitsForTheStartGoesOnlyToItsHomeRegions() {
		for (long number = 1; number <= 5; number++) {
			accept(new EntryEvent.RequestArrived(ServingSamples.request(number, "/again/x")), 0);
		}
		configure(1, Set.of(TwoRegions.WEST), Set.of(), 100);
		List<EntryEffect> listed = accept(new EntryEvent.TargetsListed(
				List.of(TwoRegions.plain("n1", TwoRegions.NORTH), TwoRegions.plain("s1", TwoRegions.SOUTH)), 10), 200);
		assertThat(listed.stream()
			.filter(EntryEffect.StartAttempt.class::isInstance)
			.map((effect) -> ((EntryEffect.StartAttempt) effect).target().name().value())).hasSize(5)
			.containsOnly("s1");
	}

	@Test
	void aRequestThatWaitsForTheStartIsRefusedWithoutATargetInItsHomeRegions() {
		accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")), 0);
		configure(1, Set.of(TwoRegions.WEST), Set.of(), 100);
		List<EntryEffect> listed = accept(
				new EntryEvent.TargetsListed(List.of(TwoRegions.plain("n1", TwoRegions.NORTH)), 10), 200);
		assertThat(listed).noneMatch(EntryEffect.StartAttempt.class::isInstance)
			.anyMatch((effect) -> effect instanceof EntryEffect.Answer answer && answer.status() == 503
					&& answer.detail().contains("home regions of the route [west]"));
	}

	// A line for each request would flood the log.
	@Test
	void anUnknownRegionIsLoggedOnceForEachConfiguration() {
		Set<RegionName> homes = Set.of(TwoRegions.EAST, TwoRegions.NOWHERE);
		assertThat(unknownRegions(configure(1, homes, homes, 0))).hasSize(1)
			.allMatch((detail) -> detail.startsWith("region=nowhere configuration=1 of='route /again/, "));
		accept(new EntryEvent.TargetsListed(List.of(TwoRegions.plain("n1", TwoRegions.NORTH)), 10), 0);
		assertThat(unknownRegions(accept(new EntryEvent.RequestArrived(ServingSamples.request(1, "/once/x")), 10)))
			.isEmpty();
		assertThat(unknownRegions(configure(1, homes, homes, 20))).isEmpty();
		assertThat(unknownRegions(configure(2, Set.of(), homes, 30)))
			.containsExactly("region=nowhere configuration=2 of='workspace yard'");
		assertThat(unknownRegions(configure(3, Set.of(TwoRegions.WEST), Set.of(), 40))).isEmpty();
	}

}
