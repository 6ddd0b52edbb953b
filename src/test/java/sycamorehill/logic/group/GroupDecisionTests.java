package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;
import org.pcollections.TreePMap;

import sycamorehill.logic.group.LeaseState.LeaseAttempt;
import sycamorehill.model.effect.PlatformEffect;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.policy.GroupPolicy;
import sycamorehill.model.policy.ObservationPolicy;
import sycamorehill.support.FixedView;

class GroupDecisionTests {

	private static final DataCentreName DATA_CENTRE = DataCentreName.of("dc0");

	private static final VmName VM = VmName.of("vm-1");

	private static final Instant NOW = Instant.ofEpochSecond(1000);

	private static final VmEntry ENTRY = new VmEntry(VM, DATA_CENTRE, FabricDomain.of("d"), Address.of("10.0.0.1", 9),
			VmStatus.LIVE, "i");

	private static final NodeIncarnation HOLDER = NodeIncarnation.of(NodeName.of("n"), 1);

	private static Allocation allocation(long nextGeneration) {
		return new Allocation(DATA_CENTRE, 1, "w", nextGeneration, TreePMap.empty(), TreePMap.empty());
	}

	private static PlanContext contextWithVmIn(long generation) {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("s"), 0), generation);
		VmReport report = new VmReport(VM, "i", EngineState.READY, Optional.of(group), false, 0, 0, 0, 0, 1);
		Fleet fleet = new Fleet(HashTreePMap.singleton(VM, ENTRY), Optional.of(NOW),
				HashTreePMap.singleton(VM, new VmObservation(report, NOW)), HashTreePMap.empty(), HashTreePMap.empty());
		return new PlanContext(NOW, fleet, List.of(), VmSilences.none(), HashTreePMap.empty(), HashTreePMap.empty(),
				ObservationPolicy.standard(), GroupPolicy.standard());
	}

	private static GroupStep step(Duration sinceConfirmed) {
		AllocationState state = AllocationState.initial().withConfirmed(allocation(5), 3, NOW.minus(sinceConfirmed));
		return GroupStep.of(GroupState.initial().withAllocation(state), NOW, FixedView.of("n"));
	}

	private static List<EngineReconciler.RequiredCommand> requiredCommands() {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("s"), 0), 4);
		return List.of(new EngineReconciler.RequiredCommand(ENTRY, new EngineCommand.Leave(group, 1)));
	}

	private static boolean isServingWithVmIn(long generation) {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("s"), 0), 4);
		GroupRecord record = new GroupRecord(group, ServiceName.of("s"), "m", "1", List.of(VM), GroupPhase.SERVING, 1,
				"", 0);
		return ServingGroups.isServing(record, contextWithVmIn(generation).fleet(), NOW, Duration.ofSeconds(5));
	}

	// Guards against a replica that mixes two memberships. A member resumes after a long
	// pause, still ready in a generation that was removed meanwhile.
	@Test
	void aMemberOfAnOlderGenerationDoesNotCount() {
		Assertions.assertThat(isServingWithVmIn(4)).isTrue();
		Assertions.assertThat(isServingWithVmIn(3)).isFalse();
	}

	private static VmSilences update(VmSilences before, int second) {
		return update(before, second, true);
	}

	private static VmSilences update(VmSilences before, int second, boolean hasPeers) {
		VmName other = VmName.of("vm-2");
		VmReport report = new VmReport(other, "i", EngineState.IDLE, Optional.empty(), false, 0, 0, 0, 0, 1);
		VmEntry entry = new VmEntry(other, DATA_CENTRE, ENTRY.domain(), ENTRY.address(), VmStatus.LIVE, "i");
		Fleet fleet = new Fleet(HashTreePMap.singleton(VM, ENTRY).plus(other, entry), Optional.of(NOW),
				HashTreePMap.singleton(other, new VmObservation(report, NOW.plusSeconds(second))), HashTreePMap.empty(),
				HashTreePMap.empty());
		return before.update(fleet, List.of(), List.of(VM), hasPeers, NOW.plusSeconds(second), Duration.ofSeconds(1));
	}

	// A node observes a silent VM, loses the lease, acquires it again a minute later and
	// finds the VM silent for a moment. The VM may have served all the time between.
	@Test
	void silenceObservedDuringAnEarlierLeaseDoesNotCount() {
		VmSilences observed = update(update(update(VmSilences.none(), 0), 1), 2);
		VmSilences later = update(observed, 60);
		VmSilences after = update(update(later, 61), 62);
		Assertions.assertThat(after.isDead(VM, NOW.plusSeconds(62), GroupPolicy.standard().repair())).isFalse();
	}

	// The node acquires the lease again, and the answer to a read arrives before the
	// first update.
	@Test
	void outdatedSilenceDoesNotMarkAVmDead() {
		VmSilences observed = VmSilences.none();
		for (int second = 0; second < 40; second++) {
			observed = update(observed, second);
		}
		Assertions.assertThat(observed.isDead(VM, NOW.plusSeconds(100), GroupPolicy.standard().repair())).isFalse();
	}

	// The other nodes and a VM become silent, so the fault may be on this node's side.
	@Test
	void silenceObservedWithoutPeersDoesNotMarkAVmDead() {
		VmSilences observed = update(VmSilences.none(), 0);
		for (int second = 1; second < 60; second++) {
			observed = update(observed, second, false);
		}
		Assertions.assertThat(observed.isDead(VM, NOW.plusSeconds(60), GroupPolicy.standard().repair())).isFalse();
	}

	@Test
	void continuouslyObservedSilenceMarksAVmDead() {
		VmSilences observed = VmSilences.none();
		for (int second = 0; second < 40; second++) {
			observed = update(observed, second);
		}
		Assertions.assertThat(observed.isDead(VM, NOW.plusSeconds(40), GroupPolicy.standard().repair())).isTrue();
	}

	// Guards against interrupted streams. A controller with an outdated allocation
	// observes a group that was formed since, and would send its VMs a leave command.
	@Test
	void aGroupNewerThanTheKnownAllocationIsNotChanged() {
		Assertions.assertThat(EngineReconciler.requiredCommands(allocation(5), contextWithVmIn(5))).isEmpty();
	}

	@Test
	void anEngineLeavesARemovedGroup() {
		Assertions.assertThat(EngineReconciler.requiredCommands(allocation(5), contextWithVmIn(4)))
			.extracting(EngineReconciler.RequiredCommand::command)
			.allMatch(EngineCommand.Leave.class::isInstance)
			.hasSize(1);
	}

	// Guards against a second load. A new controller finds a group that is loading; an
	// engine that does not recognise a repeated join command would start its load again.
	@Test
	void anEngineThatIsAlreadyLoadingReceivesNoSecondJoinCommand() {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("s"), 0), 4);
		GroupRecord record = new GroupRecord(group, ServiceName.of("s"), "m", "1", List.of(VM), GroupPhase.FORMING, 1,
				"", 0);
		Allocation forming = new Allocation(DATA_CENTRE, 1, "w", 5, TreePMap.singleton(group.name(), record),
				TreePMap.empty());
		Assertions.assertThat(EngineReconciler.requiredCommands(forming, contextWithVmIn(4))).isEmpty();
	}

	private static boolean isDrainedAfter(int seconds, int observationAge) {
		GroupIdentity group = GroupIdentity.of(GroupName.of(GroupSetName.of("s"), 0), 4);
		GroupRecord record = new GroupRecord(group, ServiceName.of("s"), "m", "1", List.of(VM), GroupPhase.DRAINING, 1,
				"", 0);
		PhaseStart since = new PhaseStart(group, GroupPhase.DRAINING, NOW.minusSeconds(seconds));
		VmReport report = new VmReport(VM, "i", EngineState.READY, Optional.of(group), false, 0, 0, 0, 0, 1);
		Fleet fleet = new Fleet(HashTreePMap.singleton(VM, ENTRY), Optional.of(NOW),
				HashTreePMap.singleton(VM, new VmObservation(report, NOW.minusSeconds(observationAge))),
				HashTreePMap.empty(), HashTreePMap.empty());
		return new PlanContext(NOW, fleet, List.of(), VmSilences.none(), HashTreePMap.singleton(group.name(), since),
				HashTreePMap.empty(), ObservationPolicy.standard(), GroupPolicy.standard())
			.isDrained(record);
	}

	// Guards against interrupted streams. The head reports no requests for a moment, and
	// a node that does not know of the drain yet sends a stream just before the engine
	// receives the leave command.
	@Test
	void aCountOfZeroEndsADrainOnlyAfterAllNodesHaveStoppedSending() {
		Assertions.assertThat(isDrainedAfter(5, 0)).isFalse();
		Assertions.assertThat(isDrainedAfter(9, 4)).isFalse();
		Assertions.assertThat(isDrainedAfter(9, 1)).isTrue();
	}

	// The controller pauses between reading the allocation and sending its commands.
	@Test
	void commandsForAnOutdatedAllocationWaitForARead() {
		GroupStep step = step(Duration.ofSeconds(20));
		EngineCommandDispatcher.dispatch(step, requiredCommands());
		Assertions.assertThat(step.result().effects()).singleElement().isInstanceOf(PlatformEffect.Call.class);
	}

	@Test
	void aCommandCarriesTheTimeAfterWhichItMustNotBeSent() {
		GroupStep step = step(Duration.ofMillis(300));
		EngineCommandDispatcher.dispatch(step, requiredCommands());
		Assertions.assertThat(step.result().effects())
			.singleElement()
			.isInstanceOfSatisfying(TargetEffect.SendOrder.class, (order) -> Assertions.assertThat(order.notAfter())
				.isEqualTo(NOW.minusMillis(300).plus(GroupPolicy.standard().orderWindow())));
	}

	// The answer of an outdated replica arrives after the node's own write.
	@Test
	void aStaleReadDoesNotRevertTheAllocation() {
		AllocationState state = AllocationState.initial().withConfirmed(allocation(5), 8, NOW);
		Assertions.assertThat(state.withConfirmed(allocation(4), 7, NOW.plusSeconds(1))).isEqualTo(state);
	}

	// The answer to a read arrives while the node's own write is pending. If the write
	// counted as complete, it would be planned a second time and its answer would be
	// ignored.
	@Test
	void aReadThatOvertakesAWriteDoesNotCompleteIt() {
		AllocationState writing = AllocationState.initial()
			.withConfirmed(allocation(5), 3, NOW)
			.withAttempt(allocation(6));
		PendingCall write = new PendingCall(1, PendingCall.Purpose.WRITE_ALLOCATION, NOW.plusSeconds(4));
		GroupStep step = GroupStep.of(
				GroupState.initial().withAllocation(writing).withPending(HashTreePMap.singleton(1L, write)), NOW,
				FixedView.of("n"));
		StoredObject object = new StoredObject(ObjectKey.of(ObjectKind.ALLOCATION, "east"), 3, allocation(5));
		AllocationCalls.handleRead(step, new PlatformEvent.Answered(CallIdentifier.of(CallOwner.GROUPS, 2),
				new PlatformAnswer.Found(object), NOW));
		Assertions.assertThat(step.state().allocation().attempt()).isPresent();
	}

	// The answer to a renewal arrives four seconds late. If the lease started with the
	// answer, it would last four seconds longer than the other nodes wait.
	@Test
	void theLeaseStartsWhenTheRenewalIsSent() {
		ControllerLease lease = new ControllerLease(DATA_CENTRE, HOLDER, 1, Duration.ofSeconds(6), 1);
		LeaseState sent = LeaseState.initial().withAttempt(new LeaseAttempt(lease, NOW));
		LeaseState held = ControllerLeaseManager.applyWrite(sent, NOW.plusSeconds(4), new PlatformAnswer.Written(1));
		Assertions.assertThat(held.isHeld(NOW.plusSeconds(5))).isTrue();
		Assertions.assertThat(held.isHeld(NOW.plusSeconds(6))).isFalse();
	}

	@Test
	void anotherNodesLeaseIsAcquiredOnlyAfterItsFullLengthWithoutRenewal() {
		FixedView view = FixedView.of("other");
		ControllerLease lease = new ControllerLease(DATA_CENTRE, HOLDER, 1, Duration.ofSeconds(6), 1);
		PlatformAnswer found = new PlatformAnswer.Found(
				new StoredObject(ObjectKey.of(ObjectKind.CONTROLLER_LEASE, "dc0"), 4, lease));
		LeaseState first = ControllerLeaseManager.applyRead(LeaseState.initial(), NOW, found);
		LeaseState later = ControllerLeaseManager.applyRead(first, NOW.plusSeconds(5), found);
		Assertions
			.assertThat(
					ControllerLeaseManager.writeRequest(later, NOW.plusSeconds(5), view.self(), GroupPolicy.standard()))
			.isEmpty();
		Assertions
			.assertThat(
					ControllerLeaseManager.writeRequest(later, NOW.plusSeconds(6), view.self(), GroupPolicy.standard()))
			.isPresent();
	}

}
