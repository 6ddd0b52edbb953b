package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.ColdTargetTolerance;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.WarmUp;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests from what a node concludes that a target is cold, and what it then sends there.
 */
class ColdTargetsTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final TargetEntry TARGET = ServingSamples.plain("p1");

	private static final TargetName NAME = TARGET.name();

	private static final EntrySettings SETTINGS = ServingSamples.settings("a")
		.withColdTargetTolerance(new ColdTargetTolerance(1.5, 5));

	private static final CountedNodes ALONE = new CountedNodes(Set.of("a"), true);

	private final List<TargetName> warm = new ArrayList<>();

	private final ColdTargets targets = ColdTargets.of(SETTINGS, (target, now) -> this.warm.add(target));

	private static ServiceParameters service(Optional<WarmUp> warmUp) {
		return new ServiceParameters(ServingSamples.DESK, 96, Optional.empty(), warmUp);
	}

	private static Configuration configuration(Optional<WarmUp> warmUp) {
		Configuration sample = ServingSamples.configuration(1);
		Map<ServiceName, ServiceParameters> services = new HashMap<>(sample.services());
		services.put(ServingSamples.DESK, service(warmUp));
		return new Configuration(1, sample.routes(), services, sample.limits(), sample.workspacesByApiKey(), true);
	}

	private static TargetEntry process(long startMillis) {
		return new TargetEntry(NAME, TARGET.service(), TARGET.address(), TARGET.dataCentre(), TARGET.slots(), false,
				startMillis, Optional.empty(), Set.of(), Optional.empty(), Optional.empty());
	}

	private void begin() {
		this.targets.adopt(configuration(Optional.of(new WarmUp(Duration.ofSeconds(3), 26))));
		this.targets.updateNodes(ALONE);
		this.targets.handleList(List.of(TARGET), START);
	}

	private List<String> tick(Duration since) {
		Effects effects = Effects.create();
		this.targets.tick(START.plus(since), effects);
		return effects.all()
			.stream()
			.map((effect) -> ((EntryEffect.Log) effect).line())
			.map((line) -> line.event().code() + ' ' + line.detail())
			.toList();
	}

	private boolean allows(Duration since) {
		Instant now = START.plus(since);
		DispatchedRequest request = DispatchedRequest.of(ServingSamples.request(1, "/again/1"),
				ServingSamples.configuration(1).routes().get(1), service(Optional.empty()), Optional.empty(), now);
		Candidate candidate = new Candidate(TARGET, 6, Optional.empty(), Optional.empty());
		return !this.targets.filter(List.of(candidate), request, now).isEmpty();
	}

	@Test
	void aTargetOfTheFirstListIsWarmUnlessItsEntrySaysOtherwise() {
		begin();
		assertThat(this.targets.count()).isZero();
		this.targets.handleEntry(TARGET.withWarmUpLeft(Duration.ofSeconds(2)), START);
		assertThat(this.targets.isCold(NAME)).isTrue();
		assertThat(tick(Duration.ZERO)).singleElement().asString().contains("SYC-1925", "told-by=entry", "nodes=1");
		assertThat(tick(Duration.ofSeconds(2))).singleElement().asString().contains("SYC-1926");
		assertThat(this.warm).containsExactly(NAME);
	}

	@Test
	void aNewProcessUnderTheSameNameIsColdWhateverItsEntrySays() {
		begin();
		this.targets.handleEntry(process(2), START);
		assertThat(tick(Duration.ZERO)).singleElement().asString().contains("told-by=new-process");
		this.targets.handleEntry(process(2), START.plusSeconds(1));
		assertThat(tick(Duration.ofMillis(2999))).isEmpty();
		assertThat(tick(Duration.ofSeconds(3))).singleElement().asString().contains("SYC-1926");
	}

	// Its entry had expired because it could not reach the store.
	@Test
	void aProcessThatComesBackIsNotNew() {
		begin();
		this.targets.handleTargetEnded(TARGET, START);
		this.targets.handleEntry(TARGET, START.plusSeconds(20));
		assertThat(this.targets.count()).isZero();
	}

	@Test
	void targetsAreColdAfterAnEvacuation() {
		begin();
		this.targets.handleReturn(Set.of(TARGET.dataCentre()), START);
		assertThat(tick(Duration.ZERO)).singleElement().asString().contains("told-by=evacuation-end");
		assertThat(allows(Duration.ZERO)).as("requests may just have been sent").isFalse();
		assertThat(allows(Duration.ofMillis(500))).isTrue();
	}

	@Test
	void repeatedEntriesWriteOneLine() {
		begin();
		this.targets.handleEntry(TARGET.withWarmUpLeft(Duration.ofSeconds(3)), START);
		assertThat(tick(Duration.ZERO)).hasSize(1);
		this.targets.handleEntry(TARGET.withWarmUpLeft(Duration.ofMillis(1800)), START.plusMillis(1300));
		assertThat(tick(Duration.ofMillis(1300))).isEmpty();
		assertThat(tick(Duration.ofMillis(3099))).isEmpty();
		assertThat(tick(Duration.ofMillis(3100))).hasSize(1);
	}

	// Another node may divide by fewer nodes until it counts this one.
	@Test
	void aNodeThatIsNotCountedSendsNothing() {
		begin();
		this.targets.updateNodes(new CountedNodes(Set.of("a", "b"), false));
		this.targets.handleEntry(process(2), START);
		tick(Duration.ZERO);
		assertThat(allows(Duration.ofSeconds(2))).isFalse();
	}

	@Test
	void aNewNodeIsCountedFromTheNextRequestOn() {
		begin();
		this.targets.handleEntry(process(2), START);
		tick(Duration.ZERO);
		assertThat(allows(Duration.ZERO)).isTrue();
		this.targets.updateNodes(new CountedNodes(Set.of("a", "b"), true));
		assertThat(allows(Duration.ZERO)).as("before the tick that divides again").isFalse();
		tick(Duration.ZERO);
		assertThat(allows(Duration.ZERO)).isTrue();
	}

	// 13 of 50 nodes may send one request each at once.
	@Test
	void asManyNodesShareATargetAsTheBurstAllows() {
		Set<String> names = IntStream.range(0, 50).mapToObj((node) -> "n" + node).collect(Collectors.toSet());
		int sharing = 0;
		for (String name : names) {
			ColdTargets node = ColdTargets.of(
					ServingSamples.settings(name).withColdTargetTolerance(new ColdTargetTolerance(1.5, 5)),
					(target, now) -> {
					});
			node.adopt(configuration(Optional.of(new WarmUp(Duration.ofSeconds(3), 26))));
			node.updateNodes(new CountedNodes(names, true));
			node.handleList(List.of(), START);
			node.handleEntry(TARGET, START);
			Effects effects = Effects.create();
			node.tick(START, effects);
			sharing += ((EntryEffect.Log) effects.all().get(0)).line().detail().contains("burst=1.04") ? 1 : 0;
		}
		assertThat(sharing).isEqualTo(13);
	}

	@Test
	void aServiceWithoutWarmUpHasNoColdTargets() {
		begin();
		this.targets.adopt(configuration(Optional.empty()));
		this.targets.handleEntry(process(2).withWarmUpLeft(Duration.ofSeconds(3)), START);
		assertThat(this.targets.count()).isZero();
	}

	@Test
	void withoutATolerancePassesEveryRequest() {
		ColdTargets off = ColdTargets.of(ServingSamples.settings("a"), (target, now) -> {
		});
		off.adopt(configuration(Optional.of(new WarmUp(Duration.ofSeconds(3), 26))));
		off.handleList(List.of(TARGET), START);
		off.handleEntry(process(2).withWarmUpLeft(Duration.ofSeconds(3)), START);
		assertThat(off.count()).isZero();
	}

	// Every entry of a cold target differs in the time left; the lists of serving targets
	// would be derived again several times a second.
	@Test
	void theTimeLeftIsNoChangeOfTheDirectory() {
		TargetDirectory directory = TargetDirectory.create();
		directory.replaceAll(List.of(TARGET.withWarmUpLeft(Duration.ofSeconds(3))), START);
		long changes = directory.changeCount();
		directory.replaceAll(List.of(TARGET.withWarmUpLeft(Duration.ofSeconds(1))), START);
		assertThat(directory.changeCount()).isEqualTo(changes);
		assertThat(directory.find(NAME)).contains(TARGET);
	}

	// Addresses differ where the platform reuses start times.
	@Test
	void aProcessAtAnotherAddressIsNew() {
		begin();
		this.targets.handleEntry(
				new TargetEntry(NAME, TARGET.service(), Address.of("127.0.0.1", 1), TARGET.dataCentre(), TARGET.slots(),
						false, TARGET.startMillis(), Optional.empty(), Set.of(), Optional.empty(), Optional.empty()),
				START);
		assertThat(this.targets.isCold(NAME)).isTrue();
	}

}
