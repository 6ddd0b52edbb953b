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

	private static final DataCentreName OWN_DATA_CENTRE = DataCentreName.of("dc0");

	private static final VmName VM = VmName.of("vm-1");

	private static final Duration LEAVING_MEMORY = Duration.ofMinutes(5);

	private static Fleet applyList(Fleet fleet, VmStatus status, String instance, int seconds) {
		VmEntry entry = new VmEntry(VM, OWN_DATA_CENTRE, FabricDomain.of("d"), Address.of("10.0.0.1", 9), status,
				instance);
		return FleetUpdates.applyList(fleet, List.of(entry), OWN_DATA_CENTRE, Instant.ofEpochSecond(seconds),
				LEAVING_MEMORY);
	}

	private static VmObservation observation(EngineState state, long sequence, int seconds) {
		VmReport report = new VmReport(VM, "i", state, Optional.empty(), false, 0, 0, 0, 0, sequence);
		return new VmObservation(report, Instant.ofEpochSecond(seconds));
	}

	// The lists of two data centres contain the same VM, for example because one list is
	// not yet updated after a move. Both data centres would claim the VM.
	@Test
	void vmOfAnotherDataCentreIsIgnored() {
		VmEntry foreign = new VmEntry(VM, DataCentreName.of("dc1"), FabricDomain.of("d"), Address.of("10.0.0.1", 9),
				VmStatus.LIVE, "i");
		Fleet fleet = FleetUpdates.applyList(Fleet.empty(), List.of(foreign), OWN_DATA_CENTRE, Instant.EPOCH,
				LEAVING_MEMORY);
		Assertions.assertThat(fleet.entries()).isEmpty();
	}

	// An engine reports that its VM is leaving, but the lagging list still shows the VM
	// as live. Requests to a group formed with it would be interrupted.
	@Test
	void leavingVmStaysLeavingAlthoughTheListShowsItLive() {
		Fleet fleet = FleetUpdates.recordLeavingNotice(applyList(Fleet.empty(), VmStatus.LIVE, "i", 1), VM,
				Instant.ofEpochSecond(2));
		Assertions.assertThat(applyList(fleet, VmStatus.LIVE, "i", 60).isLeaving(VM)).isTrue();
	}

	@Test
	void replacedVmIsNoLongerLeaving() {
		Fleet fleet = applyList(Fleet.empty(), VmStatus.LEAVING, "i", 1);
		Assertions.assertThat(applyList(fleet, VmStatus.LIVE, "j", 60).isLeaving(VM)).isFalse();
	}

	@Test
	void leavingNoticeExpiresWhenNotRepeated() {
		Fleet fleet = applyList(Fleet.empty(), VmStatus.LEAVING, "i", 1);
		Assertions.assertThat(applyList(fleet, VmStatus.LIVE, "i", 400).isLeaving(VM)).isFalse();
	}

	// A delayed answer arrives after a later one and shows the VM in a state that it has
	// left.
	@Test
	void delayedReportDoesNotReplaceALaterOne() {
		Fleet fleet = FleetUpdates.applyReport(Fleet.empty(), observation(EngineState.FAILED, 7, 5));
		Fleet after = FleetUpdates.applyReport(fleet, observation(EngineState.READY, 6, 6));
		Assertions.assertThat(after.observation(VM).orElseThrow().report().state()).isEqualTo(EngineState.FAILED);
	}

	@Test
	void observationOfAReplacedVmIsRemoved() {
		Fleet fleet = FleetUpdates.applyReport(applyList(Fleet.empty(), VmStatus.LIVE, "i", 1),
				observation(EngineState.READY, 1, 2));
		Assertions.assertThat(applyList(fleet, VmStatus.LIVE, "j", 3).observation(VM)).isEmpty();
	}

	// A message waits for four seconds in a congested connection. Its observations are
	// older by that time.
	@Test
	void transitDelayOfAMessageIsMeasured() {
		NodeIncarnation sender = NodeIncarnation.of(NodeName.of("n"), 1);
		SenderClocks clocks = SenderClocks.empty().withMessage(sender, Instant.ofEpochSecond(100), 5_000);
		SenderClocks later = clocks.withMessage(sender, Instant.ofEpochSecond(114), 15_000);
		Assertions.assertThat(later.delay(sender, Instant.ofEpochSecond(114), 15_000)).isEqualTo(4_000);
	}

}
