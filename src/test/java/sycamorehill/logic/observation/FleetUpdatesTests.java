package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;

class FleetUpdatesTests {

	private static final DataCentreName OWN = DataCentreName.of("dc0");

	private static final VmName VM = VmName.of("vm-1");

	private static final Duration MEMORY = Duration.ofMinutes(5);

	private static Fleet list(Fleet fleet, VmStatus status, String instance, int second) {
		VmEntry entry = new VmEntry(VM, OWN, FabricDomain.of("d"), Address.of("10.0.0.1", 9), status, instance);
		return FleetUpdates.list(fleet, List.of(entry), OWN, Instant.ofEpochSecond(second), MEMORY);
	}

	private static VmObservation sight(EngineState state, long sequence, int second) {
		VmReport report = new VmReport(VM, "i", state, Optional.empty(), false, 0, 0, 0, 0, sequence);
		return new VmObservation(report, Instant.ofEpochSecond(second));
	}

	// Two data centres' lists name one VM, after a move that the list tells badly. Both
	// would claim it.
	@Test
	void aVmOfAnotherDataCentreIsPassedOver() {
		VmEntry foreign = new VmEntry(VM, DataCentreName.of("dc1"), FabricDomain.of("d"), Address.of("10.0.0.1", 9),
				VmStatus.LIVE, "i");
		Fleet fleet = FleetUpdates.list(Fleet.empty(), List.of(foreign), OWN, Instant.EPOCH, MEMORY);
		Assertions.assertThat(fleet.entries()).isEmpty();
	}

	// The engine says that it will go; the list lags and still shows the VM as live. A
	// group formed with it would be cut off.
	@Test
	void aListThatShowsALeavingVmLiveAgainIsNotEnough() {
		Fleet fleet = FleetUpdates.leaving(list(Fleet.empty(), VmStatus.LIVE, "i", 1), VM, Instant.ofEpochSecond(2));
		Assertions.assertThat(list(fleet, VmStatus.LIVE, "i", 60).isLeaving(VM)).isTrue();
	}

	@Test
	void aReplacedVmIsNoLongerLeaving() {
		Fleet fleet = list(Fleet.empty(), VmStatus.LEAVING, "i", 1);
		Assertions.assertThat(list(fleet, VmStatus.LIVE, "j", 60).isLeaving(VM)).isFalse();
	}

	@Test
	void aVmThatAllSignsSayStaysIsTakenBackInTime() {
		Fleet fleet = list(Fleet.empty(), VmStatus.LEAVING, "i", 1);
		Assertions.assertThat(list(fleet, VmStatus.LIVE, "i", 400).isLeaving(VM)).isFalse();
	}

	// An answer that was delayed on its way comes after a later one, and shows the VM in
	// a state that it has left.
	@Test
	void aLateReportDoesNotTakeTheViewBack() {
		Fleet fleet = FleetUpdates.report(Fleet.empty(), sight(EngineState.FAILED, 7, 5));
		Fleet after = FleetUpdates.report(fleet, sight(EngineState.READY, 6, 6));
		Assertions.assertThat(after.observation(VM).orElseThrow().report().state()).isEqualTo(EngineState.FAILED);
	}

	@Test
	void theSightOfAReplacedVmIsForgotten() {
		Fleet fleet = FleetUpdates.report(list(Fleet.empty(), VmStatus.LIVE, "i", 1), sight(EngineState.READY, 1, 2));
		Assertions.assertThat(list(fleet, VmStatus.LIVE, "j", 3).observation(VM)).isEmpty();
	}

	// A message waits for four seconds in a full connection. What it tells is as old as
	// that, whatever it says.
	@Test
	void theTimeThatAMessageWasUnderWayCounts() {
		NodeIncarnation sender = NodeIncarnation.of(NodeName.of("n"), 1);
		SenderClocks clocks = SenderClocks.none().received(sender, Instant.ofEpochSecond(100), 5_000);
		SenderClocks later = clocks.received(sender, Instant.ofEpochSecond(114), 15_000);
		Assertions.assertThat(later.delay(sender, Instant.ofEpochSecond(114), 15_000)).isEqualTo(4_000);
	}

}
