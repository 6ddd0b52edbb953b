package sycamorehill.logic.entry;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests in many histories that parts of prompts which crash engines are found, and no
 * other parts are taken for them.
 */
class CrashingPartsSimulationTests {

	/** By hand: -Dcrashing-parts.seeds=1000. */
	private static final int SEEDS = Integer.getInteger("crashing-parts.seeds", 30);

	/** Number of requests that may reach engines once a part is known to crash them. */
	private static final int MAXIMUM_LATE_ARRIVALS = 3;

	private static CrashingPartsWorld play(CrashingPartsWorld.Site site, long seed) {
		Random random = new Random(seed);
		CrashingPartsWorld world = new CrashingPartsWorld(site, seed);
		world.startTraffic();
		world.run(Duration.ofSeconds(3));
		int parts = 1 + random.nextInt(3);
		for (int part = 0; part < parts; part++) {
			world.startCrashingRequests("bad" + part, random.nextInt(4), 0.7 + 1.3 * random.nextDouble());
		}
		if (random.nextInt(3) == 0) {
			world.startSoundCrashes(0.3);
		}
		if (random.nextInt(3) == 0) {
			world.failDomain(4000 * random.nextDouble());
		}
		if (random.nextInt(3) == 0) {
			world.startKills(0.3);
		}
		if (random.nextInt(3) == 0) {
			world.cut(3000 * random.nextDouble(), 6000);
		}
		world.run(Duration.ofSeconds(20));
		return world;
	}

	// Requests with a part come at all nodes, no two alike, while sound ones share all of
	// their other parts with them and run on the same engines. Nodes are killed and cut
	// off.
	@Test
	void partsThatCrashEnginesAreFoundAndNoOthers() {
		List<CrashingPartsWorld.Report> reports = LongStream.range(0, SEEDS)
			.parallel()
			.mapToObj((seed) -> play(new CrashingPartsWorld.Site(6, 20, 110), seed).report())
			.toList();
		assertThat(reports).allSatisfy((report) -> {
			assertThat(report.crashesByPart()).isNotEmpty();
			assertThat(report.lateArrivalsByPart().values()).allMatch((late) -> late <= MAXIMUM_LATE_ARRIVALS);
			assertThat(report.servedSound()).isPositive();
		});
		long refused = reports.stream().mapToLong(CrashingPartsWorld.Report::refusedSound).sum();
		assertThat(refused).isZero();
	}

	// The engines begin to crash under a part that came in sound requests before.
	@Test
	void aPartThatTurnsBadIsFound() {
		List<CrashingPartsWorld.Report> reports = LongStream.range(0, SEEDS / 3).parallel().mapToObj((seed) -> {
			CrashingPartsWorld world = new CrashingPartsWorld(new CrashingPartsWorld.Site(6, 20, 110), seed);
			world.startTraffic();
			world.run(Duration.ofSeconds(5));
			world.corrupt("doc8");
			world.run(Duration.ofSeconds(12));
			return world.report();
		}).toList();
		assertThat(reports).allSatisfy((report) -> {
			assertThat(report.causes()).anyMatch((cause) -> cause.contains("part:doc8"));
			assertThat(report.lateArrivalsByPart().values()).allMatch((late) -> late <= MAXIMUM_LATE_ARRIVALS);
		});
	}

	// Whole domains and single engines crash by themselves, again and again.
	@Test
	void noPartIsRefusedWhereEnginesCrashByThemselves() {
		List<CrashingPartsWorld.Report> reports = LongStream.range(0, SEEDS / 3).parallel().mapToObj((seed) -> {
			CrashingPartsWorld world = new CrashingPartsWorld(new CrashingPartsWorld.Site(6, 20, 110), seed);
			world.startTraffic();
			world.run(Duration.ofSeconds(3));
			world.startSoundCrashes(0.7);
			IntStream.range(0, 4).forEach((time) -> world.failDomain(1000 + 4000 * time));
			world.run(Duration.ofSeconds(20));
			return world.report();
		}).toList();
		long refused = reports.stream().mapToLong(CrashingPartsWorld.Report::refusedSound).sum();
		assertThat(refused).isZero();
	}

}
