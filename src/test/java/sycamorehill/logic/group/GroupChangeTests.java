package sycamorehill.logic.group;

import java.time.Duration;
import java.util.Collection;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.TrialEngine;
import sycamorehill.experiment.group.TrialNode;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.VmName;

class GroupChangeTests {

	private static Collection<GroupRecord> groups(GroupTrial trial) {
		return trial.allocation(GroupTrials.DATA_CENTRE).groups().values();
	}

	private static int countServing(GroupTrial trial) {
		return (int) groups(trial).stream().filter((group) -> group.phase() == GroupPhase.SERVING).count();
	}

	private static void assertServingAtLeast(GroupTrial trial, int groups, Duration time) {
		for (int second = 0; second < time.toSeconds(); second++) {
			trial.run(Duration.ofSeconds(1));
			Assertions.assertThat(countServing(trial)).isGreaterThanOrEqualTo(groups);
		}
	}

	@Test
	void aNewModelVersionIsRolledOutWhileTheServiceServes() {
		GroupTrial trial = GroupTrials.formed(1, 3, 0);
		trial.file(GroupTrials.service("2"));
		assertServingAtLeast(trial, 2, Duration.ofMinutes(8));
		Assertions.assertThat(groups(trial))
			.hasSize(3)
			.allMatch((group) -> group.modelVersion().equals("2") && group.phase() == GroupPhase.SERVING);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	// No VM is free to form the new groups beside the old ones.
	@Test
	void aFullDataCentreIsUpdatedOneGroupAtATime() {
		GroupTrial trial = GroupTrials.formed(2, 4, 0);
		trial.file(GroupTrials.service("2"));
		assertServingAtLeast(trial, 3, Duration.ofMinutes(8));
		Assertions.assertThat(groups(trial)).hasSize(4).allMatch((group) -> group.modelVersion().equals("2"));
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	@Test
	void surplusGroupsAreDrainedAndRemoved() {
		GroupTrial trial = GroupTrials.formed(3, 3, 0);
		trial.file(GroupTrials.set(1, 0));
		trial.run(Duration.ofMinutes(2));
		Assertions.assertThat(groups(trial)).hasSize(1);
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	// A ticket removes the set, or the service with its model, while answers stream.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void groupsThatNoTicketAsksForAreDrainedAndRemoved(boolean withService) {
		GroupTrial trial = GroupTrials.formed(6, 3, 0);
		trial.remove(withService ? GroupTrials.service("1") : GroupTrials.set(3, 0));
		trial.run(Duration.ofMinutes(2));
		Assertions.assertThat(groups(trial)).isEmpty();
		Assertions.assertThat(trial.figures().violations()).isEmpty();
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	// The new version cannot be loaded. The service continues with the old version, and
	// the record of the failed group holds the reason.
	@Test
	void aVersionThatFailsToLoadStopsTheRollout() {
		GroupTrial trial = GroupTrials.formed(4, 3, 0);
		trial.engines().values().forEach((engine) -> engine.failLoads(true));
		trial.file(GroupTrials.service("2"));
		assertServingAtLeast(trial, 3, Duration.ofMinutes(6));
		Assertions.assertThat(groups(trial))
			.filteredOn((group) -> group.phase() == GroupPhase.FAILED)
			.singleElement()
			.satisfies((group) -> Assertions.assertThat(group.reason()).contains("load of model 2 failed"));
		Assertions.assertThat(trial.engines().values()).allMatch((engine) -> engine.loads() <= 4);
	}

	@Test
	void aTicketForTheOldVersionEndsAStoppedRollout() {
		GroupTrial trial = GroupTrials.formed(5, 3, 0);
		trial.engines().values().forEach((engine) -> engine.failLoads(true));
		trial.file(GroupTrials.service("2"));
		trial.run(Duration.ofMinutes(3));
		trial.engines().values().forEach((engine) -> engine.failLoads(false));
		trial.file(GroupTrials.service("1"));
		trial.run(Duration.ofMinutes(3));
		Assertions.assertThat(groups(trial))
			.hasSize(3)
			.allMatch((group) -> group.modelVersion().equals("1") && group.phase() == GroupPhase.SERVING);
	}

	// Guards against interrupted streams during a drain. A node is partitioned from its
	// peers and the platform, is not informed of the drain, and sends streams until its
	// observation of the group is too old.
	@Test
	void aNodeThatIsNotInformedOfTheDrainLosesNoStream() {
		GroupTrial trial = GroupTrials.formed(6, 3, 0);
		TrialNode partitioned = trial.nodes().stream().filter((node) -> !node.controls(trial.now())).findFirst().get();
		partitioned.cutFromPeers(true);
		partitioned.cutFromPlatform(true);
		trial.at(Duration.ofSeconds(90), () -> {
			partitioned.cutFromPeers(false);
			partitioned.cutFromPlatform(false);
		});
		trial.file(GroupTrials.set(1, 0));
		trial.run(Duration.ofMinutes(4));
		Assertions.assertThat(groups(trial)).hasSize(1);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	// The VM list announces that a member will leave. Requests sent to its group after
	// that would be interrupted.
	@Test
	void aLeavingMemberDrainsItsGroupAndStartsTheReplacementAtOnce() {
		GroupTrial trial = GroupTrials.formed(7, 2, 0);
		GroupRecord record = groups(trial).iterator().next();
		VmName leaving = record.members().get(1);
		trial.engines().get(leaving).leave();
		trial.run(Duration.ofSeconds(8));
		Assertions.assertThat(groups(trial))
			.anyMatch((group) -> group.identity().equals(record.identity()) && group.phase() == GroupPhase.DRAINING)
			.anyMatch((group) -> group.phase() == GroupPhase.FORMING);
		trial.run(Duration.ofMinutes(2));
		Assertions.assertThat(countServing(trial)).isEqualTo(2);
		Assertions.assertThat(groups(trial)).noneMatch((group) -> group.members().contains(leaving));
		Assertions.assertThat(trial.figures().brokenStreams()).isZero();
	}

	// Guards against late commands. A controller pauses past its lease before it sends
	// its commands, another one forms the groups differently, then the first one resumes
	// and sends. The engines ignore fencing numbers.
	@Test
	void aControllerThatResumesAfterItsLeaseDoesNoHarm() {
		for (long seed = 1; seed <= 20; seed++) {
			GroupTrial trial = GroupTrials.formed(seed, 2, 0);
			trial.engines().values().forEach(TrialEngine::ignoreFencing);
			trial.file(GroupTrials.service("2"));
			trial.run(Duration.ofMillis(trial.random().nextInt(500, 12_000)));
			trial.nodes()
				.stream()
				.filter((node) -> node.controls(trial.now()))
				.forEach((node) -> node.pause(trial.now().plusSeconds(20)));
			trial.file(GroupTrials.service("3"));
			trial.run(Duration.ofMinutes(5));
			Assertions.assertThat(trial.figures().violations()).isEmpty();
			Assertions.assertThat(groups(trial))
				.hasSize(2)
				.allMatch((group) -> group.modelVersion().equals("3") && group.phase() == GroupPhase.SERVING);
			Assertions.assertThat(trial.figures().brokenStreams()).isZero();
		}
	}

}
