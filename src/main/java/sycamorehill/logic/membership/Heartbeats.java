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
 * Sends heartbeats: every node to the delegates of its data centre, the delegates to each
 * other and to those of the other data centres, and one to a node that is known but not
 * alive, so that nodes find each other again after a cut or a restart in place.
 */
final class Heartbeats {

	private static final int PROBES_WHEN_ALONE = 3;

	private Heartbeats() {
	}

	static void beat(MembershipTurn turn) {
		turn.set(turn.state()
			.withTimers(turn.state().timers().beaten(turn.now().plus(turn.interval()), turn.ticketNumber())));
		for (LiveNode delegate : delegates(turn, turn.ownDataCentre())) {
			turn.send(delegate.identity(), turn.delegate() ? word(turn, delegate.identity()) : question(turn));
		}
		if (turn.delegate()) {
			beatAcross(turn);
		}
		probe(turn);
	}

	static void reply(MembershipTurn turn, NodeIdentity to) {
		turn.send(to, word(turn, to));
	}

	/**
	 * The delegates of a data centre without this node.
	 * @param turn the step under way
	 * @param dataCentre the data centre
	 * @return the delegates as this node sees them now
	 */
	static List<LiveNode> delegates(MembershipTurn turn, DataCentreName dataCentre) {
		LiveNodes nodes = turn.state().liveNodes();
		return Delegates.of(nodes.notStoppingIn(dataCentre), turn.policy().delegates())
			.stream()
			.filter((node) -> !node.identity().equals(turn.self()))
			.toList();
	}

	static int ageMillis(MembershipTurn turn, DataCentreName dataCentre, DataCentreView view) {
		if (turn.delegate() && dataCentre.equals(turn.ownDataCentre())) {
			return 0;
		}
		long age = Duration.between(view.vouchedAt(), turn.now()).toMillis();
		return (int) Math.max(1, Math.min(Integer.MAX_VALUE, age));
	}

	private static void beatAcross(MembershipTurn turn) {
		for (DataCentreName dataCentre : turn.sightings().views().keySet()) {
			if (!dataCentre.equals(turn.ownDataCentre())) {
				for (LiveNode delegate : delegates(turn, dataCentre)) {
					turn.send(delegate.identity(), word(turn, delegate.identity()));
				}
			}
		}
	}

	private static void probe(MembershipTurn turn) {
		boolean alone = turn.state().liveNodes().nodes().size() <= 1;
		List<NodeIdentity> silent = silentContacts(turn);
		int probes = Math.min(silent.size(), alone ? PROBES_WHEN_ALONE : 1);
		for (int index = 0; index < probes; index++) {
			NodeIdentity contact = silent.get(index);
			turn.send(contact, question(turn));
			turn.set(turn.state().withTimers(turn.state().timers().probed(contact.incarnation().node())));
		}
	}

	// The known nodes that are not alive, beginning behind the one that was probed last.
	private static List<NodeIdentity> silentContacts(MembershipTurn turn) {
		Map<NodeName, LiveNode> live = turn.state().liveNodes().nodes();
		NodeName last = turn.state().timers().lastProbe();
		List<NodeIdentity> later = new ArrayList<>();
		List<NodeIdentity> earlier = new ArrayList<>();
		for (Map.Entry<NodeName, NodeIdentity> entry : turn.sightings().contacts().entrySet()) {
			if (!live.containsKey(entry.getKey())) {
				((entry.getKey().compareTo(last) > 0) ? later : earlier).add(entry.getValue());
			}
		}
		later.addAll(earlier);
		return later;
	}

	private static Heartbeat question(MembershipTurn turn) {
		return new Heartbeat(turn.state().stopping(), turn.ticketNumber(), (int) turn.interval().toMillis(), true,
				turn.sightings().hash(), List.of(), List.of(), List.of());
	}

	// What this node knows: in full only for a receiver that last showed another hash.
	private static Heartbeat word(MembershipTurn turn, NodeIdentity to) {
		long hash = turn.sightings().hash();
		DirectContact contact = turn.sightings().direct().get(to.incarnation().node());
		boolean same = contact != null && contact.viewHash() == hash;
		List<Integer> ages = new ArrayList<>();
		List<DataCentreConfirmation> vouches = new ArrayList<>();
		for (Map.Entry<DataCentreName, DataCentreView> entry : turn.sightings().known().entrySet()) {
			int age = ageMillis(turn, entry.getKey(), entry.getValue());
			ages.add(age);
			vouches.add(new DataCentreConfirmation(entry.getKey(), entry.getValue().hash(), age));
		}
		boolean betweenDelegates = turn.delegate() && to.dataCentre().equals(turn.ownDataCentre());
		return new Heartbeat(turn.state().stopping(), turn.ticketNumber(), (int) turn.interval().toMillis(), false,
				hash, same ? ages : List.of(), betweenDelegates ? unheard(turn) : List.of(),
				same ? List.of() : vouches);
	}

	private static List<NodeName> unheard(MembershipTurn turn) {
		List<NodeName> names = new ArrayList<>();
		for (NodeName name : turn.ownView().members().keySet()) {
			if (!heard(turn, name)) {
				names.add(name);
			}
		}
		return names;
	}

	static boolean heard(MembershipTurn turn, NodeName name) {
		if (name.equals(turn.self().incarnation().node())) {
			return true;
		}
		DirectContact contact = turn.sightings().direct().get(name);
		return contact != null && !silent(turn, contact, turn.now());
	}

	static boolean silent(MembershipTurn turn, DirectContact contact, Instant now) {
		return contact.silent(now, turn.policy().missedHeartbeats());
	}

}
