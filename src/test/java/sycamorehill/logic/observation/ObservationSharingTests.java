package sycamorehill.logic.observation;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.VmSightsSent;

class ObservationSharingTests {

	private static final NodeIdentity SENDER = new NodeIdentity(NodeIncarnation.of(NodeName.of("n"), 1),
			DataCentreName.of("dc0"), Address.of("10.0.0.2", 7));

	private static final VmName VM = VmName.of("vm-1");

	private static VmReport report(EngineState state, long sequence) {
		return new VmReport(VM, "i", state, Optional.empty(), false, 0, 0, 0, 0, sequence);
	}

	private static ObservationState handleMessage(ObservationState state, int seconds, VmSightsSent message) {
		return ObservationSharing.handleMessage(state, Instant.ofEpochSecond(seconds), SENDER, message);
	}

	private static VmSightsSent unchangedMessage(int seconds, EngineState state) {
		return new VmSightsSent(seconds * 1000L, false, List.of(), List.of(), StateHash.of(report(state, 1)), 100);
	}

	private static ObservationState stateWithReadyVm() {
		VmSightsSent fullMessage = new VmSightsSent(1000, true, List.of(report(EngineState.READY, 1)), List.of(100), 0,
				100);
		return handleMessage(ObservationState.initial(), 1, fullMessage);
	}

	@Test
	void unchangedObservationsAreRefreshed() {
		ObservationState state = handleMessage(stateWithReadyVm(), 4, unchangedMessage(4, EngineState.READY));
		Assertions.assertThat(state.fleet().observation(VM).orElseThrow().seenAt())
			.isEqualTo(Instant.ofEpochMilli(3900));
	}

	// The message that reports a failed member is lost and the next one reports no
	// further change. If the receiver refreshed its outdated observation, the group would
	// go on serving.
	@Test
	void observationsAreNotRefreshedWhenTheHashDiffers() {
		ObservationState state = handleMessage(stateWithReadyVm(), 4, unchangedMessage(4, EngineState.FAILED));
		Assertions.assertThat(state.fleet().observation(VM).orElseThrow().seenAt())
			.isEqualTo(Instant.ofEpochMilli(900));
	}

}
