package sycamorehill.logic.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.TargetIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what a node concludes from lost targets, whatever it is told first.
 */
class CrashEvidenceTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final RequestTrait PART = RequestTrait.promptPart("part");

	private static TargetLoss loss(int target, boolean crashed, int lostMillis, RequestTrait... traits) {
		TargetIncarnation process = new TargetIncarnation(TargetName.of("t" + target), 1,
				Address.of("127.0.0.1", 9000 + target));
		Instant lostAt = START.plusMillis(lostMillis);
		return new TargetLoss(process, lostAt, crashed, Map.of("r" + target, new LostRun(lostAt, Set.of(traits))));
	}

	private static CrashEvidence evidence(TargetLoss... losses) {
		CrashEvidence evidence = CrashEvidence.create();
		List.of(losses).forEach(evidence::add);
		return evidence;
	}

	// Connections that are reset twice look like two lost targets for a moment.
	@Test
	void lossesAreNoRiskWhileNoneIsKnownToBeACrash() {
		assertThat(evidence(loss(1, false, 0, PART), loss(2, false, 300, PART)).isRisky(Set.of(PART))).isFalse();
		assertThat(evidence(loss(1, true, 0, PART), loss(2, false, 300, PART)).isRisky(Set.of(PART))).isTrue();
	}

	@Test
	void memoryIsBoundedAndKeepsCrashesBeforeUndecidedLosses() {
		CrashEvidence evidence = evidence(loss(0, true, 0, PART));
		IntStream.range(1, 1000).forEach((target) -> evidence.add(loss(target, false, target, PART)));
		assertThat(evidence.losses()).hasSizeLessThanOrEqualTo(300).anyMatch(TargetLoss::crashed);
	}

	// Messages are lost, repeated and overtake each other; all nodes must still come to
	// the
	// same conclusion.
	@Property(tries = 300)
	void theOrderInWhichNodesAreToldMakesNoDifference(@ForAll long seed) {
		Random random = new Random(seed);
		List<RequestTrait> traits = IntStream.range(0, 5)
			.mapToObj((number) -> RequestTrait.promptPart("p" + number))
			.toList();
		List<Runnable> told = new ArrayList<>();
		CrashEvidence one = CrashEvidence.create();
		CrashEvidence other = CrashEvidence.create();
		List<TargetLoss> losses = IntStream.range(0, 6)
			.mapToObj((target) -> loss(target, true, 400 * target, traits.get(random.nextInt(5)),
					RequestTrait.content(target)))
			.toList();
		losses.forEach(one::add);
		List<Instant> sound = IntStream.range(0, 3).mapToObj((time) -> START.plusMillis(random.nextInt(2400))).toList();
		IntStream.range(0, 3).forEach((part) -> one.recordSound(Set.of(traits.get(part)), sound.get(part)));
		losses.forEach((loss) -> told.add(() -> other.add(loss)));
		losses.forEach((loss) -> told.add(() -> other.add(loss)));
		IntStream.range(0, 3)
			.forEach((part) -> told.add(() -> other.recordSound(Set.of(traits.get(part)), sound.get(part))));
		Collections.shuffle(told, random);
		told.forEach(Runnable::run);
		Instant later = START.plus(Duration.ofSeconds(10));
		assertThat(describe(other, later)).isEqualTo(describe(one, later));
	}

	private static Map<Set<RequestTrait>, Set<TargetName>> describe(CrashEvidence evidence, Instant now) {
		Map<Set<RequestTrait>, Set<TargetName>> causes = new HashMap<>();
		evidence.causes(now)
			.forEach((cause) -> causes.put(cause.traits(),
					cause.losses().stream().map((loss) -> loss.target().name()).collect(Collectors.toSet())));
		return causes;
	}

}
