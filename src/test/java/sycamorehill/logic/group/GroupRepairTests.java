package sycamorehill.logic.group;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.TrialEngine;
import sycamorehill.experiment.group.TrialNode;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.VmName;

class GroupRepairTests {

	private static final Duration DETECTION_TIME = Duration.ofSeconds(6);

	private static final Duration REPAIR_TIME = Duration.ofSeconds(60);

	private static Allocation allocation(GroupTrial trial) {
		return trial.allocation(GroupTrials.DATA_CENTRE);
	}

	private static Collection<GroupRecord> groups(GroupTrial trial) {
		return allocation(trial).groups().values();
	}

	private static GroupRecord first(GroupTrial trial) {
		return groups(trial).iterator().next();
	}

	private static TrialEngine engine(GroupTrial trial, VmName vm) {
		return trial.engines().get(vm);
	}

	private static double downtime(GroupTrial trial, Duration time) {
		double before = trial.figures().downtimeSeconds();
		trial.run(time);
		return trial.figures().downtimeSeconds() - before;
	}

	// Guards against streams that stall for good. The VM of one member pauses while the
	// head still answers, so a check of the head alone would keep sending requests to the
	// group.
	@Test
	void aGroupWithASilentMemberReceivesNoRequests() {
		GroupTrial trial = GroupTrials.formed(1, 2, 0);
		VmName member = first(trial).members().get(2);
		engine(trial, member).pause(trial.now().plusSeconds(12));
		trial.run(DETECTION_TIME);
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(4))).isEqualTo(4);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
	}

	// Guards against an unnecessary rebuild, which loads the whole group again. The
	// member resumes in its generation.
	@Test
	void aPausedMemberCausesNoRebuild() {
		GroupTrial trial = GroupTrials.formed(1, 2, 0);
		long generation = allocation(trial).nextGeneration();
		engine(trial, first(trial).members().get(2)).pause(trial.now().plusSeconds(12));
		trial.run(Duration.ofSeconds(14));
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(10))).isZero();
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(generation);
	}

	@Test
	void aDeadMemberIsReplacedFromItsDomain() {
		GroupTrial trial = GroupTrials.formed(2, 3, 0);
		TrialEngine dead = engine(trial, first(trial).members().get(1));
		trial.vms().die(dead, false);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(first(trial).phase()).isEqualTo(GroupPhase.SERVING);
		Assertions.assertThat(first(trial).members())
			.doesNotContain(dead.name())
			.allMatch((vm) -> engine(trial, vm).domain().equals(dead.domain()));
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(5))).isZero();
	}

	@Test
	void aStandbyReplacesADeadMember() {
		GroupTrial trial = GroupTrials.formed(2, 3, 2);
		GroupRecord record = groups(trial).stream()
			.filter((group) -> allocation(trial).standbys()
				.keySet()
				.stream()
				.anyMatch((vm) -> engine(trial, vm).domain().equals(engine(trial, group.head()).domain())))
			.findFirst()
			.orElseThrow();
		Collection<VmName> standbys = allocation(trial).standbys().keySet();
		trial.vms().die(engine(trial, record.members().get(1)), true);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(allocation(trial).groups().get(record.identity().name()).members())
			.anyMatch(standbys::contains);
	}

	// All VMs of one domain fail at the same time.
	@Test
	void groupsOfALostDomainAreRebuiltInAnotherDomain() {
		GroupTrial trial = GroupTrials.formed(3, 2, 0);
		TrialEngine head = engine(trial, first(trial).head());
		trial.engines()
			.values()
			.stream()
			.filter((each) -> each.domain().equals(head.domain()))
			.forEach((each) -> trial.vms().die(each, false));
		trial.run(REPAIR_TIME);
		Assertions.assertThat(groups(trial)).hasSize(2).allMatch((group) -> group.phase() == GroupPhase.SERVING);
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(5))).isZero();
	}

	// Two groups each lose a member, and no VM is free.
	@Test
	void aBrokenGroupServesAgainWithMembersOfAnotherOne() {
		GroupTrial trial = GroupTrials.formed(4, 4, 0);
		for (GroupRecord record : groups(trial)) {
			if (engine(trial, record.head()).domain().equals(engine(trial, first(trial).head()).domain())) {
				trial.vms().die(engine(trial, record.members().get(1)), true);
			}
		}
		trial.run(REPAIR_TIME);
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(10))).isEqualTo(10);
	}

	@Test
	void aVmThatFailsDuringTheLoadIsReplaced() {
		GroupTrial trial = GroupTrials.create(5);
		trial.file(GroupTrials.service("1"), GroupTrials.set(1, 0));
		trial.run(Duration.ofSeconds(6));
		trial.vms().die(engine(trial, first(trial).members().get(1)), true);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(5))).isZero();
	}

	// Guards against counting a restarted engine as a member. It restarts within a second
	// and answers at the same address and under the same name, but has lost its group.
	@Test
	void aRestartedVmIsNoLongerAMember() {
		GroupTrial trial = GroupTrials.formed(6, 1, 0);
		long generation = first(trial).identity().generation();
		TrialEngine member = engine(trial, first(trial).members().get(1));
		trial.vms().die(member, true);
		member.restart();
		trial.run(REPAIR_TIME);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
		Assertions.assertThat(first(trial).identity().generation()).isGreaterThan(generation);
		Assertions.assertThat(downtime(trial, Duration.ofSeconds(5))).isZero();
	}

	// One node is partitioned from a member. The other node still observes it.
	@Test
	void aPartitionBetweenOneObserverAndAMemberStopsNoGroup() {
		GroupTrial trial = GroupTrials.formed(7, 1, 0);
		for (TrialNode node : trial.nodes()) {
			node.cutFrom(first(trial).members().get(1), true);
			Assertions.assertThat(downtime(trial, Duration.ofSeconds(40))).isZero();
			node.cutFrom(first(trial).members().get(1), false);
		}
	}

	// The controller is partitioned from the other node and from a member at the same
	// time. The other node still observes the member and sends requests to its group.
	@Test
	void aControllerPartitionedFromItsPeersIgnoresSilence() {
		GroupTrial trial = GroupTrials.formed(7, 1, 0);
		long generation = allocation(trial).nextGeneration();
		TrialNode controller = trial.nodes().stream().filter((node) -> node.controls(trial.now())).findFirst().get();
		controller.cutFromPeers(true);
		controller.cutFrom(first(trial).members().get(1), true);
		trial.run(REPAIR_TIME);
		controller.cutFromPeers(false);
		trial.run(Duration.ofSeconds(5));
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(generation);
	}

	// All nodes of the data centre pause for half a minute, for example because their
	// host is frozen. Afterwards every observation is old, and every VM looks dead.
	@Test
	void aPauseOfAllNodesCausesNoRebuild() {
		GroupTrial trial = GroupTrials.formed(8, 3, 0);
		long generation = allocation(trial).nextGeneration();
		trial.nodes().forEach((node) -> node.pause(trial.now().plusSeconds(30)));
		trial.run(REPAIR_TIME);
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(generation);
	}

	// The switch of the nodes fails, so no VM answers any of them.
	@Test
	void aPartitionFromAllVmsCausesNoRebuild() {
		GroupTrial trial = GroupTrials.formed(9, 3, 0);
		long generation = allocation(trial).nextGeneration();
		partitionAll(trial, true);
		trial.run(REPAIR_TIME);
		partitionAll(trial, false);
		trial.run(Duration.ofSeconds(5));
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(generation);
	}

	private static void partitionAll(GroupTrial trial, boolean isPartitioned) {
		List<VmName> vms = List.copyOf(trial.engines().keySet());
		trial.nodes().forEach((node) -> vms.forEach((vm) -> node.cutFrom(vm, isPartitioned)));
	}

	// A node observes a silent VM while it is the controller, loses the lease and
	// acquires it again. The VM has resumed long before.
	@Test
	void aNewLeaseIgnoresSilenceObservedDuringAnEarlierOne() {
		GroupTrial trial = GroupTrials.formed(10, 1, 0);
		TrialNode controller = trial.nodes().stream().filter((node) -> node.controls(trial.now())).findFirst().get();
		engine(trial, first(trial).members().get(1)).pause(trial.now().plusSeconds(8));
		trial.run(Duration.ofSeconds(7));
		controller.pause(trial.now().plusSeconds(20));
		trial.run(Duration.ofSeconds(40));
		long generation = allocation(trial).nextGeneration();
		TrialNode other = trial.nodes().stream().filter((node) -> node != controller).findFirst().get();
		other.pause(trial.now().plusSeconds(20));
		trial.run(REPAIR_TIME);
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(generation);
	}

	// The platform is down for a minute. Groups continue to serve, because whether a
	// group is complete is observed and not read from the platform.
	@Test
	void groupsServeThroughAnOutageOfThePlatform() {
		FaultyTrialPlatform platform = FaultyTrialPlatform.create(11);
		GroupTrial trial = GroupTrials.create(11, platform);
		trial.file(GroupTrials.service("1"), GroupTrials.set(3, 0));
		trial.run(GroupTrials.FORMED);
		platform.faults().down(true);
		Assertions.assertThat(downtime(trial, REPAIR_TIME)).isZero();
	}

	// Half of the platform's answers are lost although the writes took effect.
	@Test
	void lostResponsesDoNotFormAGroupTwice() {
		FaultyTrialPlatform platform = FaultyTrialPlatform.create(12);
		GroupTrial trial = GroupTrials.create(12, platform);
		platform.faults().faults(0, 0.5, 0);
		trial.file(GroupTrials.service("1"), GroupTrials.set(3, 0));
		trial.run(Duration.ofMinutes(4));
		Assertions.assertThat(groups(trial)).hasSize(3);
		Assertions.assertThat(allocation(trial).nextGeneration()).isEqualTo(4);
	}

	// A controller pauses while a group loads, and another node takes over.
	@Test
	void aNewControllerDoesNotRestartALoadInProgress() {
		GroupTrial trial = GroupTrials.create(13);
		trial.engines().values().forEach(TrialEngine::ignoreFencing);
		trial.file(GroupTrials.service("1"), GroupTrials.set(1, 0));
		trial.run(Duration.ofSeconds(6));
		trial.nodes()
			.stream()
			.filter((node) -> node.controls(trial.now()))
			.forEach((node) -> node.pause(trial.now().plusSeconds(30)));
		trial.run(REPAIR_TIME);
		Assertions.assertThat(first(trial).phase()).isEqualTo(GroupPhase.SERVING);
		Assertions.assertThat(trial.engines().values()).allMatch((each) -> each.loads() <= 1);
	}

}
