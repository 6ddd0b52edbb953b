package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.TrialEngine;
import sycamorehill.experiment.group.TrialNode;

/**
 * Runs random histories with all faults at the same time: VMs that crash, pause, restart
 * and leave, nodes that pause and are partitioned, lost and late calls and commands,
 * engines that ignore fencing numbers, and tickets in between. Other seeds: {@code mvn -o
 * test -Dtest=GroupHistoryTests -DgroupSeeds=FIRST:COUNT}.
 */
class GroupHistoryTests {

	private static final int FAULT_COUNT = 40;

	static LongStream seeds() {
		String[] range = System.getProperty("groupSeeds", "1:12").split(":");
		return LongStream.range(0, Long.parseLong(range[1])).map((index) -> Long.parseLong(range[0]) + index);
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void noInvariantIsViolatedAndGroupsServeAgain(long seed) {
		FaultyTrialPlatform platform = FaultyTrialPlatform.create(seed);
		GroupTrial trial = GroupTrials.create(seed, platform);
		trial.engines().values().stream().skip(seed % 3).forEach(TrialEngine::ignoreFencing);
		trial.vms().faults(0.05, 0.05);
		platform.faults().faults(0.03, 0.05, 0.03);
		trial.file(GroupTrials.service("1"), GroupTrials.set(3, 0));
		trial.run(GroupTrials.FORMED);
		for (int fault = 0; fault < FAULT_COUNT; fault++) {
			injectFault(trial, platform);
			trial.run(Duration.ofMillis(trial.random().nextInt(500, 20_000)));
			platform.faults().down(false);
		}
		recover(trial, platform);
		Assertions.assertThat(trial.figures().violations()).as(() -> String.join("\n", trial.log())).isEmpty();
		double before = trial.figures().downtimeSeconds();
		trial.run(Duration.ofSeconds(30));
		Assertions.assertThat(trial.figures().downtimeSeconds()).isEqualTo(before);
	}

	private static void injectFault(GroupTrial trial, FaultyTrialPlatform platform) {
		RandomGenerator random = trial.random();
		TrialEngine engine = randomElement(List.copyOf(trial.engines().values()), random);
		TrialNode node = randomElement(trial.nodes(), random);
		Instant until = trial.now().plusSeconds(random.nextInt(1, 25));
		int kind = random.nextInt(11);
		trial.log().add(trial.now() + " fault " + kind + " " + engine.name() + " " + node.self().incarnation().node());
		switch (kind) {
			case 0, 1 -> {
				trial.vms().die(engine, random.nextBoolean());
				trial.at(Duration.ofSeconds(random.nextInt(5, 90)), engine::restart);
			}
			case 2, 3 -> engine.pause(until);
			case 4 -> {
				engine.leave();
				trial.at(Duration.ofSeconds(60), () -> {
					trial.vms().die(engine, true);
					engine.restart();
				});
			}
			case 5 -> node.pause(until);
			case 6 -> {
				node.cutFrom(engine.name(), true);
				trial.at(Duration.ofSeconds(30), () -> node.cutFrom(engine.name(), false));
			}
			case 7 -> platform.faults().down(true);
			case 8 -> {
				node.cutFromPlatform(true);
				trial.at(Duration.ofSeconds(20), () -> node.cutFromPlatform(false));
			}
			case 9 -> {
				node.cutFromPeers(true);
				trial.at(Duration.ofSeconds(20), () -> node.cutFromPeers(false));
			}
			default -> trial.file(GroupTrials.service(String.valueOf(random.nextInt(1, 3))),
					GroupTrials.set(random.nextInt(1, 4), random.nextInt(2)));
		}
	}

	private static void recover(GroupTrial trial, FaultyTrialPlatform platform) {
		platform.faults().faults(0, 0, 0);
		trial.vms().faults(0, 0);
		trial.file(GroupTrials.service("9"), GroupTrials.set(3, 0));
		trial.run(Duration.ofMinutes(10));
	}

	private static <T> T randomElement(List<T> list, RandomGenerator random) {
		return new ArrayList<>(list).get(random.nextInt(list.size()));
	}

	@Test
	void oneSeedReproducesOneHistory() {
		Assertions.assertThat(GroupTrials.formed(5, 3, 1).figures().platformCalls())
			.isEqualTo(GroupTrials.formed(5, 3, 1).figures().platformCalls());
	}

}
