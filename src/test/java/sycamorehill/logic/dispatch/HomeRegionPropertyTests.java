package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.Workspace;
import sycamorehill.support.ServingSamples;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no attempt goes outside the home regions in which both the route and the
 * workspace of its request let it be served, whatever happens to targets, paths, other
 * nodes and the configuration.
 */
class HomeRegionPropertyTests {

	private static final List<String> DATA_CENTRES = List.of(TwoRegions.NORTH, TwoRegions.SOUTH, TwoRegions.FAR);

	private static final List<String> PATHS = List.of("/once/x", "/again/x", "/stream/x", "/single/x");

	private static final int STEPS = 120;

	@Property(tries = 400, seed = "27")
	void noAttemptLeavesTheIntersection(@ForAll long seed) {
		World world = new World(seed);
		for (int step = 0; step < STEPS; step++) {
			world.step();
		}
	}

	/**
	 * A node at which random events occur.
	 */
	private static final class World {

		private final Random random;

		private final TargetDirectory directory = TargetDirectory.create();

		private final RequestDispatcher dispatcher;

		private final Map<String, DataCentreName> placesOfTargets = new HashMap<>();

		private final Map<String, DataCentreName> placesOfNodes = new HashMap<>();

		/** Home regions of each request at its arrival. */
		private final Map<Long, List<Set<RegionName>>> homes = new HashMap<>();

		private final Map<Long, Integer> attempts = new HashMap<>();

		private List<Set<RegionName>> configured = List.of(Set.of(), Set.of());

		private Instant now = Instant.ofEpochSecond(1000);

		private long number;

		World(long seed) {
			this.random = new Random(seed);
			this.dispatcher = RequestDispatcher.of(TwoRegions.settings("one"), this.directory, new Random(seed));
			this.dispatcher.updateRetryShare(new RetryShare(1000, 1000, 0));
			changeConfiguration(1);
			changeTargets();
			changeNodes();
		}

		private <T> T any(List<T> all) {
			return all.get(this.random.nextInt(all.size()));
		}

		private Set<RegionName> anyRegions() {
			return Stream.of(TwoRegions.EAST, TwoRegions.WEST, TwoRegions.NOWHERE)
				.filter((region) -> this.random.nextInt(3) == 0)
				.collect(Collectors.toSet());
		}

		void step() {
			this.now = this.now.plusMillis(this.random.nextInt(300));
			Effects effects = Effects.create();
			switch (this.random.nextInt(12)) {
				case 0, 1, 2 -> arrive(effects);
				case 3 -> arriveFromOtherNode(effects);
				case 4, 5, 6 -> endAttempt(effects);
				case 7 -> changeConfiguration(this.number + 2);
				case 8 -> changeNodes();
				case 9 -> losePath(effects);
				case 10 -> this.dispatcher.handleConnected(anyTarget(), this.now, effects);
				default -> fallSilent(effects);
			}
			this.dispatcher.tick(this.now, effects);
			check(effects.all());
		}

		private void arrive(Effects effects) {
			this.homes.put(++this.number, this.configured);
			this.dispatcher.handleRequest(ServingSamples.request(this.number, any(PATHS)), this.now, this.now, effects);
		}

		private void arriveFromOtherNode(Effects effects) {
			this.homes.put(++this.number, List.of(anyRegions(), anyRegions()));
			RequestKind kind = any(List.of(RequestKind.values()));
			ProxiedRequest request = new ProxiedRequest("two", "a" + this.number, "r", kind,
					kind.isStreaming() ? ServingSamples.ENGINES : ServingSamples.DESK,
					Optional.of(new Workspace(WorkspaceName.of("yard"), 1, this.homes.get(this.number).get(1))), 1,
					Duration.ofMillis(300), Duration.ofSeconds(6), Duration.ofSeconds(6), Duration.ofMillis(5),
					kind.isStreaming() ? Optional.of("small") : Optional.empty(), Optional.empty(), List.of(),
					this.number, Set.of(), false, true, this.homes.get(this.number).get(0));
			this.dispatcher.proxiedRequests().handleArrival(this.number, request, true, this.now, effects);
		}

		private void endAttempt(Effects effects) {
			if (this.attempts.isEmpty()) {
				return;
			}
			long ended = any(List.copyOf(this.attempts.keySet()));
			int attempt = this.attempts.get(ended);
			AttemptEnd end = any(List.of(new AttemptEnd.NotRun(NotRunCause.REFUSED),
					new AttemptEnd.NotRun(NotRunCause.NOT_CONNECTED), new AttemptEnd.NotRun(NotRunCause.WRONG_TARGET),
					new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE), new AttemptEnd.NotRun(NotRunCause.NO_TARGET),
					new AttemptEnd.Failed(500), new AttemptEnd.Unknown("reset", false),
					new AttemptEnd.Broken("reset", true, false)));
			if (this.random.nextBoolean()) {
				this.dispatcher.handleFirstEvent(ended, this.now);
			}
			this.dispatcher.handleAttemptEnd(ended, attempt, end, this.now, effects);
			this.dispatcher.proxiedRequests()
				.handleAttemptEnd(new EntryEvent.ProxiedAttemptEnded(ended, attempt, Optional.empty(), end), this.now,
						effects);
		}

		private void changeConfiguration(long version) {
			this.configured = List.of(anyRegions(), anyRegions());
			this.dispatcher.adopt(TwoRegions.configuration(version, this.configured.get(0), this.configured.get(1)));
		}

		private void changeTargets() {
			List<TargetEntry> entries = new ArrayList<>();
			for (int index = 1; index <= 6; index++) {
				entries.add(TwoRegions.plain("p" + index, any(DATA_CENTRES)));
				TwoRegions.group(index, any(DATA_CENTRES)).forEach(entries::add);
			}
			entries.forEach((entry) -> this.placesOfTargets.put(entry.name().value(), entry.dataCentre()));
			this.directory.replaceAll(entries, this.now);
		}

		private void changeNodes() {
			List<NodeRecord> peers = IntStream.range(0, this.random.nextInt(4))
				.mapToObj((index) -> TwoRegions.node("node-" + this.number + "-" + index, any(DATA_CENTRES)))
				.toList();
			peers.forEach((peer) -> this.placesOfNodes.put(peer.name(), peer.dataCentre()));
			int liveNodes = this.random.nextBoolean() ? 1 + peers.size() : 40;
			this.dispatcher.updateNodes(liveNodes, peers, this.now, Effects.create());
		}

		private TargetName anyTarget() {
			return TargetName.of(any(List.copyOf(this.placesOfTargets.keySet())));
		}

		private void losePath(Effects effects) {
			this.placesOfTargets.keySet()
				.forEach((target) -> this.dispatcher.handleUnreached(TargetName.of(target), this.now, effects));
		}

		private void fallSilent(Effects effects) {
			this.dispatcher.handleSilentTarget(anyTarget(), "one", this.now, effects);
			int group = 1 + this.random.nextInt(6);
			this.dispatcher.handleGroupEnded(TargetName.of("h" + group), "small." + group, group, this.now, effects);
			this.placesOfNodes.keySet()
				.stream()
				.findFirst()
				.ifPresent((node) -> this.dispatcher.proxiedRequests().handleSilentNode(node, this.now, effects));
		}

		private void check(List<EntryEffect> effects) {
			for (EntryEffect effect : effects) {
				if (effect instanceof EntryEffect.StartAttempt start) {
					this.attempts.put(start.number(), start.attempt());
					Optional<RegionName> region = region(this.placesOfTargets.get(start.target().name().value()));
					assertThat(isHome(start.number(), region)).as("%s in %s", start, region).isTrue();
				}
				else if (effect instanceof EntryEffect.StartProxiedAttempt start) {
					this.attempts.put(start.number(), start.attempt());
					Optional<RegionName> region = region(this.placesOfNodes.get(start.node().name()));
					boolean local = region.filter(TwoRegions.EAST::equals).isPresent();
					assertThat(local || isHome(start.number(), region)).as("%s in %s", start, region).isTrue();
					assertThat(start.request().homes().ofRoute()).isEqualTo(this.homes.get(start.number()).get(0));
					assertThat(start.request().homes().ofWorkspace()).isEqualTo(this.homes.get(start.number()).get(1));
				}
			}
		}

		private static Optional<RegionName> region(DataCentreName dataCentre) {
			return Optional.ofNullable(TwoRegions.REGIONS.get(dataCentre));
		}

		private boolean isHome(long request, Optional<RegionName> region) {
			return this.homes.get(request)
				.stream()
				.allMatch((list) -> list.isEmpty() || region.filter(list::contains).isPresent());
		}

	}

}
