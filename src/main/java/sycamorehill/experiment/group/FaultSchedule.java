package sycamorehill.experiment.group;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

import sycamorehill.model.identity.FabricDomain;

/**
 * One schedule of failures by seed, the same for every policy: an hour with deaths and
 * pauses of VMs, a lost domain, a paused controller, an outage of the platform with a
 * death in it, and a cut between a node and the others.
 */
final class FaultSchedule {

	static final Duration LENGTH = Duration.ofHours(1);

	private static final int DEATHS = 8;

	private static final int PAUSES = 10;

	private static final int LONGEST_PAUSE_SECONDS = 25;

	private static final int DEATH_SECONDS = 300;

	private static final Duration DOMAIN_LOSS = Duration.ofMinutes(8);

	private static final Duration PLATFORM_OUTAGE = Duration.ofSeconds(120);

	private static final Duration CUT = Duration.ofSeconds(40);

	private FaultSchedule() {
	}

	static void plan(GroupTrial trial, PlainTrialPlatform platform, long seed) {
		RandomGenerator random = new Random(seed);
		List<TrialEngine> engines = new ArrayList<>(trial.engines().values());
		for (int death = 0; death < DEATHS; death++) {
			death(trial, any(engines, random), moment(random), random);
		}
		for (int pause = 0; pause < PAUSES; pause++) {
			TrialEngine engine = any(engines, random);
			Duration time = Duration.ofSeconds(random.nextInt(2, LONGEST_PAUSE_SECONDS));
			trial.at(moment(random), () -> trial.vms().pause(engine, time));
		}
		FabricDomain domain = any(engines, random).domain();
		List<TrialEngine> struck = engines.stream().filter((engine) -> engine.domain().equals(domain)).toList();
		trial.at(moment(random), () -> trial.vms().outage(up(struck), false, DOMAIN_LOSS));
		TrialNode node = any(trial.nodes(), random);
		trial.at(moment(random), () -> controllers(trial).forEach((each) -> each.pause(trial.now().plusSeconds(20))));
		Duration outage = moment(random);
		trial.at(outage, () -> platform.down(true));
		trial.at(outage.plus(PLATFORM_OUTAGE), () -> platform.down(false));
		death(trial, any(engines, random), outage.plusSeconds(10), random);
		Duration cut = moment(random);
		trial.at(cut, () -> node.cutFromPeers(true));
		trial.at(cut.plus(CUT), () -> node.cutFromPeers(false));
	}

	private static void death(GroupTrial trial, TrialEngine engine, Duration when, RandomGenerator random) {
		boolean refuses = random.nextBoolean();
		Duration time = Duration.ofSeconds(random.nextInt(DEATH_SECONDS / 2, DEATH_SECONDS));
		trial.at(when, () -> trial.vms().outage(up(List.of(engine)), refuses, time));
	}

	private static List<TrialEngine> up(List<TrialEngine> engines) {
		return engines.stream().filter((engine) -> !engine.isDown()).toList();
	}

	private static List<TrialNode> controllers(GroupTrial trial) {
		return trial.nodes().stream().filter((node) -> node.controls(trial.now())).limit(1).toList();
	}

	private static Duration moment(RandomGenerator random) {
		return Duration.ofSeconds(random.nextInt(60, (int) LENGTH.minusMinutes(10).toSeconds()));
	}

	private static <T> T any(List<T> list, RandomGenerator random) {
		return list.get(random.nextInt(list.size()));
	}

}
