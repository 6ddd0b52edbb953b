package sycamorehill.logic.group;

import java.time.Duration;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.PlainTrialPlatform;
import sycamorehill.experiment.group.TrialEngine;
import sycamorehill.experiment.group.TrialSettings;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;

class GroupOfflineTests {

	private static final Duration REPAIR_TIME = Duration.ofSeconds(60);

	private static final Duration STEP = Duration.ofMillis(100);

	private static final int RECOVERY_STEPS = 300;

	/** Less than a load takes, and enough for the commands after the allocation. */
	private static final Duration COMMANDS_SENT = Duration.ofSeconds(4);

	private final PlainTrialPlatform platform = PlainTrialPlatform.create();

	private GroupTrial formed(int standbys) {
		GroupTrial trial = GroupTrials.create(21, this.platform);
		trial.file(GroupTrials.service("1"), GroupTrials.set(2, standbys));
		trial.run(GroupTrials.FORMED);
		return trial;
	}

	private static Allocation allocation(GroupTrial trial) {
		return trial.allocation(GroupTrials.DATA_CENTRE);
	}

	/**
	 * Returns a group with a standby in its domain, or any group if there is none.
	 */
	private static GroupRecord repairableGroup(GroupTrial trial) {
		Allocation allocation = allocation(trial);
		return allocation.groups()
			.values()
			.stream()
			.filter((group) -> allocation.standbys()
				.keySet()
				.stream()
				.anyMatch((vm) -> domain(trial, vm).equals(domain(trial, group.head()))))
			.findFirst()
			.orElse(allocation.groups().values().iterator().next());
	}

	private static Object domain(GroupTrial trial, VmName vm) {
		return trial.engines().get(vm).domain();
	}

	private static double downtime(GroupTrial trial) {
		double before = trial.figures().downtimeSeconds();
		trial.run(Duration.ofSeconds(10));
		return trial.figures().downtimeSeconds() - before;
	}

	private void failMemberDuringOutage(GroupTrial trial) {
		this.platform.down(true);
		trial.run(Duration.ofSeconds(15));
		TrialEngine member = trial.engines().get(repairableGroup(trial).members().get(1));
		trial.vms().die(member, true);
		trial.run(REPAIR_TIME);
	}

	private GroupTrial loading(int nodes) {
		TrialSettings settings = GroupTrials.settings(21);
		GroupTrial trial = GroupTrials.create(
				new TrialSettings(settings.policy(), settings.dataCentres(), nodes, settings.domains(), settings.vms(),
						settings.load(), settings.storeLoads(), settings.listLag(), settings.seed()),
				this.platform);
		trial.file(GroupTrials.service("1"), GroupTrials.set(1, 0));
		for (int step = 0; step < RECOVERY_STEPS && allocation(trial).groups().isEmpty(); step++) {
			trial.run(STEP);
		}
		trial.run(COMMANDS_SENT);
		Assertions.assertThat(allocation(trial).groups().values())
			.singleElement()
			.matches((group) -> group.phase() == GroupPhase.FORMING);
		return trial;
	}

	private static long targets(GroupTrial trial) {
		return trial.nodes()
			.stream()
			.mapToLong((node) -> node.targets(ServiceName.of("drafts"), trial.now()).size())
			.min()
			.orElseThrow();
	}

	// The data centre is partitioned from the platform and a member fails. A standby that
	// was claimed before replaces it, which needs no write.
	@Test
	void aClaimedStandbyRepairsAGroupWhileThePlatformIsDown() {
		GroupTrial trial = formed(2);
		failMemberDuringOutage(trial);
		Assertions.assertThat(downtime(trial)).isZero();
		Assertions.assertThat(trial.figures().violations()).isEmpty();
	}

	// The platform recovers. The repair is written to the allocation and not undone.
	@Test
	void theRepairIsKeptWhenThePlatformRecovers() {
		GroupTrial trial = formed(2);
		failMemberDuringOutage(trial);
		this.platform.down(false);
		double before = trial.figures().downtimeSeconds();
		trial.run(REPAIR_TIME);
		Assertions.assertThat(trial.figures().downtimeSeconds()).isEqualTo(before);
		Assertions.assertThat(allocation(trial).groups().values())
			.anyMatch((group) -> group.identity().generation() >= OfflineState.FIRST_OFFLINE_GENERATION);
	}

	// The platform goes down after the groups of a data centre were recorded and before
	// the record that they serve. All members are loaded, and no request is served until
	// the platform is back.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void groupsThatFinishLoadingWhileThePlatformIsDownServe(int nodes) {
		GroupTrial trial = loading(nodes);
		this.platform.down(true);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(targets(trial)).isOne();
		Assertions.assertThat(trial.figures().violations()).isEmpty();
	}

	// Guards against a gap in which the groups are known only as forming again: the
	// platform answers before the controller may write.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2 })
	void groupsThatBeganToServeWhileThePlatformWasDownServeOnWhenItRecovers(int nodes) {
		GroupTrial trial = loading(nodes);
		this.platform.down(true);
		trial.run(REPAIR_TIME);
		this.platform.down(false);
		for (int step = 0; step < RECOVERY_STEPS; step++) {
			trial.run(STEP);
			Assertions.assertThat(targets(trial)).isOne();
		}
		Assertions.assertThat(allocation(trial).groups().values())
			.allMatch((group) -> group.phase() == GroupPhase.SERVING);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
	}

	// Only the controller is partitioned from the platform. Another node takes over and
	// may remove the group, so the old controller must not decide that it serves.
	@Test
	void aControllerThatAloneLosesThePlatformPutsNoGroupIntoService() {
		GroupTrial trial = loading(2);
		trial.nodes()
			.stream()
			.filter((node) -> node.controls(trial.now()))
			.findFirst()
			.orElseThrow()
			.cutFromPlatform(true);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(trial.log()).noneMatch((line) -> line.contains("while the platform is silent"));
		Assertions.assertThat(targets(trial)).isOne();
	}

	// Guards against using an unclaimed VM, which another controller may have claimed
	// meanwhile.
	@Test
	void anUnclaimedVmIsNotUsedWhileThePlatformIsDown() {
		GroupTrial trial = formed(0);
		failMemberDuringOutage(trial);
		Assertions.assertThat(downtime(trial)).isEqualTo(10);
	}

	// Only the controller is partitioned from the platform; the other node takes over and
	// repairs the group. Two repairs would remove each other's members.
	@Test
	void aControllerThatAloneLosesThePlatformRepairsNothing() {
		GroupTrial trial = formed(2);
		trial.nodes()
			.stream()
			.filter((node) -> node.controls(trial.now()))
			.findFirst()
			.orElseThrow()
			.cutFromPlatform(true);
		trial.run(Duration.ofSeconds(3));
		trial.vms().die(trial.engines().get(repairableGroup(trial).members().get(1)), true);
		trial.run(REPAIR_TIME);
		Assertions.assertThat(trial.log()).noneMatch((line) -> line.contains("GROUP_REPAIRED_OFFLINE"));
		Assertions.assertThat(downtime(trial)).isZero();
	}

}
