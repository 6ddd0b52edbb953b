package sycamorehill.logic.observation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

import sycamorehill.logic.NodeView;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.VmSightsSent;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Sends the observations of this node to the stewards of the data centre and handles
 * those of other nodes. A message contains all reports only after a change and at regular
 * intervals. Other messages contain the reports of the VMs that have load, and a hash by
 * which the receiver checks that its state of the sender's VMs is up to date.
 */
final class ObservationSharing {

	private static final int FULL_MESSAGES_AFTER_CHANGE = 2;

	private static final int FULL_MESSAGE_PERIOD = 8;

	private ObservationSharing() {
	}

	static ObservationState send(ObservationState state, Instant now, NodeView view, List<Effect> effects) {
		ObservationPolicy policy = view.policy().observation();
		SharingState sharing = state.sharing();
		List<VmObservation> observations = freshObservations(state, now, policy);
		long hash = hash(observations);
		boolean changed = hash != sharing.lastHash();
		if (!changed && now.isBefore(sharing.nextAt())) {
			return state;
		}
		int fullMessages = changed ? FULL_MESSAGES_AFTER_CHANGE : Math.max(0, sharing.wholesLeft() - 1);
		boolean full = changed || sharing.wholesLeft() > 0 || sharing.round() % FULL_MESSAGE_PERIOD == 0;
		VmSightsSent message = message(observations, now, hash, full);
		for (NodeIdentity steward : Rendezvous.stewards(view, view.self().dataCentre())) {
			if (!steward.equals(view.self())) {
				effects.add(new PeerEffect.Send(steward, message));
			}
		}
		return state.withSharing(sharing.withMessageSent(now.plus(policy.digestInterval()), hash, fullMessages));
	}

	private static List<VmObservation> freshObservations(ObservationState state, Instant now,
			ObservationPolicy policy) {
		Instant oldestFresh = now.minus(policy.freshness());
		List<VmObservation> observations = new ArrayList<>();
		for (VmName vm : state.observed()) {
			VmObservation observation = state.sharing().own().get(vm);
			if (observation != null && observation.seenAt().isAfter(oldestFresh)) {
				observations.add(observation);
			}
		}
		return observations;
	}

	private static VmSightsSent message(List<VmObservation> observations, Instant now, long hash, boolean full) {
		List<VmReport> reports = new ArrayList<>();
		List<Integer> ages = new ArrayList<>();
		int oldest = 0;
		for (VmObservation observation : observations) {
			int age = (int) Duration.between(observation.seenAt(), now).toMillis();
			oldest = Math.max(oldest, age);
			if (full || isLoaded(observation.report())) {
				reports.add(observation.report());
				ages.add(age);
			}
		}
		return new VmSightsSent(now.toEpochMilli(), full, reports, ages, hash, oldest);
	}

	private static boolean isLoaded(VmReport report) {
		return report.running() + report.queued() > 0 || report.tokensPerSecond() > 0;
	}

	private static long hash(List<VmObservation> observations) {
		long hash = 0;
		for (VmObservation observation : observations) {
			hash += StateHash.of(observation.report());
		}
		return hash;
	}

	static ObservationState handleMessage(ObservationState state, Instant now, NodeIdentity from,
			VmSightsSent message) {
		SenderClocks clocks = state.sharing().clocks().withMessage(from.incarnation(), now, message.sentAt());
		long delay = clocks.delay(from.incarnation(), now, message.sentAt());
		Fleet fleet = state.fleet();
		PSet<VmName> vms = HashTreePSet.empty();
		for (int index = 0; index < message.reports().size(); index++) {
			VmReport report = message.reports().get(index);
			Instant seenAt = now.minusMillis(delay + message.ages().get(index));
			fleet = FleetUpdates.applyReport(fleet, new VmObservation(report, seenAt));
			vms = vms.plus(report.vm());
		}
		SharingState sharing = state.sharing().withClocks(clocks);
		if (message.whole()) {
			return state.withFleet(fleet).withSharing(sharing.withObserver(from.incarnation().node(), vms));
		}
		Instant seenAt = now.minusMillis(delay + message.oldest());
		PSet<VmName> unchanged = sharing.observers().getOrDefault(from.incarnation().node(), HashTreePSet.empty());
		return state.withFleet(refreshUnchanged(fleet, unchanged, message.hash(), seenAt)).withSharing(sharing);
	}

	// If the message with a change is lost, the next one, which reports no further
	// change, must not refresh the outdated observation: a group would be served with a
	// member missing. The hash of the sender must therefore match the state that this
	// node knows for the same VMs. Otherwise nothing is refreshed until the next full
	// message arrives.
	private static Fleet refreshUnchanged(Fleet fleet, PSet<VmName> vms, long hash, Instant seenAt) {
		long known = 0;
		for (VmName vm : vms) {
			VmObservation observation = fleet.sights().get(vm);
			known += (observation != null) ? StateHash.of(observation.report()) : 0;
		}
		if (known != hash) {
			return fleet;
		}
		Fleet refreshed = fleet;
		for (VmName vm : vms) {
			refreshed = FleetUpdates.refreshObservation(refreshed, vm, seenAt);
		}
		return refreshed;
	}

}
