package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.peer.DataCentreConfirmation;
import sycamorehill.model.peer.Heartbeat;

/**
 * Sends heartbeats. Every node sends them to the delegates of its data centre. Delegates
 * also send them to the delegates of the other data centres. In addition, each round
 * probes a known node that is not live, so that nodes find each other again after a
 * network partition or a restart at the same address.
 */
final class Heartbeats {

	private static final int PROBES_WHEN_ALONE = 3;

	private Heartbeats() {
	}

	static void sendAll(MembershipStep step) {
		step.set(step.state()
			.withTimers(step.state()
				.timers()
				.withHeartbeatsSent(step.now().plus(step.heartbeatInterval()), step.ticketNumber())));
		for (LiveNode delegate : otherDelegates(step, step.ownDataCentre())) {
			step.send(delegate.identity(),
					step.isDelegate() ? heartbeatWithReport(step, delegate.identity()) : heartbeatWithRequest(step));
		}
		if (step.isDelegate()) {
			sendToOtherDataCentres(step);
		}
		probe(step);
	}

	static void reply(MembershipStep step, NodeIdentity to) {
		step.send(to, heartbeatWithReport(step, to));
	}

	/**
	 * Returns the delegates of a data centre except this node.
	 * @param step the current step
	 * @param dataCentre the data centre
	 * @return the delegates according to the live nodes that this node knows
	 */
	static List<LiveNode> otherDelegates(MembershipStep step, DataCentreName dataCentre) {
		LiveNodes nodes = step.state().liveNodes();
		return Delegates.of(nodes.notStoppingIn(dataCentre), step.policy().delegates())
			.stream()
			.filter((node) -> !node.identity().equals(step.self()))
			.toList();
	}

	static int confirmationAgeMillis(MembershipStep step, DataCentreName dataCentre, DataCentreView view) {
		if (step.isDelegate() && dataCentre.equals(step.ownDataCentre())) {
			return 0;
		}
		long age = Duration.between(view.vouchedAt(), step.now()).toMillis();
		return (int) Math.max(1, Math.min(Integer.MAX_VALUE, age));
	}

	private static void sendToOtherDataCentres(MembershipStep step) {
		for (DataCentreName dataCentre : step.observations().views().keySet()) {
			if (!dataCentre.equals(step.ownDataCentre())) {
				for (LiveNode delegate : otherDelegates(step, dataCentre)) {
					step.send(delegate.identity(), heartbeatWithReport(step, delegate.identity()));
				}
			}
		}
	}

	private static void probe(MembershipStep step) {
		boolean alone = step.state().liveNodes().nodes().size() <= 1;
		List<NodeIdentity> contacts = contactsToProbe(step);
		int probes = Math.min(contacts.size(), alone ? PROBES_WHEN_ALONE : 1);
		for (int index = 0; index < probes; index++) {
			NodeIdentity contact = contacts.get(index);
			step.send(contact, heartbeatWithRequest(step));
			step.set(step.state().withTimers(step.state().timers().withLastProbe(contact.incarnation().node())));
		}
	}

	// Returns the known nodes that are not live, in the order of their names, starting
	// after the last one that was probed.
	private static List<NodeIdentity> contactsToProbe(MembershipStep step) {
		Map<NodeName, LiveNode> live = step.state().liveNodes().nodes();
		NodeName last = step.state().timers().lastProbe();
		List<NodeIdentity> later = new ArrayList<>();
		List<NodeIdentity> earlier = new ArrayList<>();
		for (Map.Entry<NodeName, NodeIdentity> entry : step.observations().contacts().entrySet()) {
			if (!live.containsKey(entry.getKey())) {
				((entry.getKey().compareTo(last) > 0) ? later : earlier).add(entry.getValue());
			}
		}
		later.addAll(earlier);
		return later;
	}

	private static Heartbeat heartbeatWithRequest(MembershipStep step) {
		return new Heartbeat(step.state().stopping(), step.ticketNumber(), (int) step.heartbeatInterval().toMillis(),
				true, step.observations().hash(), List.of(), List.of(), List.of());
	}

	// The confirmations are sent in full only to a receiver whose last heartbeat had
	// another hash.
	private static Heartbeat heartbeatWithReport(MembershipStep step, NodeIdentity to) {
		long hash = step.observations().hash();
		DirectContact contact = step.observations().direct().get(to.incarnation().node());
		boolean sameHash = contact != null && contact.viewHash() == hash;
		List<Integer> ages = new ArrayList<>();
		List<DataCentreConfirmation> confirmations = new ArrayList<>();
		for (Map.Entry<DataCentreName, DataCentreView> entry : step.observations().confirmedViews().entrySet()) {
			int age = confirmationAgeMillis(step, entry.getKey(), entry.getValue());
			ages.add(age);
			confirmations.add(new DataCentreConfirmation(entry.getKey(), entry.getValue().hash(), age));
		}
		boolean betweenDelegates = step.isDelegate() && to.dataCentre().equals(step.ownDataCentre());
		return new Heartbeat(step.state().stopping(), step.ticketNumber(), (int) step.heartbeatInterval().toMillis(),
				false, hash, sameHash ? ages : List.of(), betweenDelegates ? membersWithoutHeartbeat(step) : List.of(),
				sameHash ? List.of() : confirmations);
	}

	private static List<NodeName> membersWithoutHeartbeat(MembershipStep step) {
		List<NodeName> names = new ArrayList<>();
		for (NodeName name : step.ownView().members().keySet()) {
			if (!hasRecentHeartbeat(step, name)) {
				names.add(name);
			}
		}
		return names;
	}

	static boolean hasRecentHeartbeat(MembershipStep step, NodeName name) {
		if (name.equals(step.self().incarnation().node())) {
			return true;
		}
		DirectContact contact = step.observations().direct().get(name);
		return contact != null && !isSilent(step, contact, step.now());
	}

	static boolean isSilent(MembershipStep step, DirectContact contact, Instant now) {
		return contact.isSilent(now, step.policy().missedHeartbeats());
	}

}
