package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.logic.membership.MembershipState.MembershipTimers;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.peer.MemberEntry;
import sycamorehill.model.peer.MembersChanged;

/**
 * Decides from the sightings who is alive, drops who has been silent for too long, and
 * pushes changes.
 */
final class Liveness {

	private static final Duration PUSH_INTERVAL = Duration.ofSeconds(1);

	private static final Duration LOST_KEPT = Duration.ofMinutes(10);

	private static final Duration LONGEST_UNDRAWN = Duration.ofSeconds(10);

	private static final long STOPPING_FACTOR = 31;

	private static final int MOST_STEPS = 2;

	private static final int FORGOTTEN_AFTER_BOUNDS = 20;

	private Liveness() {
	}

	static void ticked(MembershipTurn turn) {
		if (turn.now().isBefore(turn.state().timers().nextPush())) {
			return;
		}
		turn.set(turn.state().withTimers(turn.state().timers().pushed(turn.now().plus(PUSH_INTERVAL))));
		if (turn.delegate()) {
			dropSilentMembers(turn);
		}
		else {
			passOverSilentDelegates(turn);
		}
		dropSilentDataCentres(turn);
		forgetSilentContacts(turn);
		refreshIfChanged(turn);
		if (turn.delegate()) {
			push(turn);
			ForceSteps.measure(turn);
		}
	}

	// Drawing anew costs as much as there are nodes: once a second it would be the
	// largest part of this reducer's processor time.
	private static void refreshIfChanged(MembershipTurn turn) {
		MembershipTimers timers = turn.state().timers();
		long from = signature(turn);
		if (from != timers.drawnFrom() || !timers.drawnAt().plus(LONGEST_UNDRAWN).isAfter(turn.now())) {
			refresh(turn);
			turn.set(turn.state().withTimers(turn.state().timers().drawn(from, turn.now())));
		}
	}

	private static long signature(MembershipTurn turn) {
		long signature = turn.state().stopping() ? 1 : 0;
		for (DataCentreView view : turn.sightings().views().values()) {
			signature ^= view.hash();
		}
		for (DirectContact contact : turn.sightings().direct().values()) {
			if (!Heartbeats.silent(turn, contact, turn.now())) {
				signature += contact.identity().incarnation().hashCode() * (contact.stopping() ? STOPPING_FACTOR : 1L);
			}
		}
		return signature;
	}

	/**
	 * Draws the live nodes anew and sees whether this node is a delegate.
	 * @param turn the step under way
	 */
	static void refresh(MembershipTurn turn) {
		PMap<NodeName, LiveNode> nodes = TreePMap.empty();
		for (DataCentreView view : turn.sightings().views().values()) {
			for (Map.Entry<NodeName, MemberEntry> entry : view.members().entrySet()) {
				MemberEntry member = entry.getValue();
				nodes = nodes.plus(entry.getKey(),
						new LiveNode(member.identity(), member.stopping(), view.vouchedAt()));
			}
		}
		for (Map.Entry<NodeName, DirectContact> entry : turn.sightings().direct().entrySet()) {
			DirectContact contact = entry.getValue();
			if (!Heartbeats.silent(turn, contact, turn.now())) {
				nodes = nodes.plus(entry.getKey(),
						new LiveNode(contact.identity(), contact.stopping(), contact.heardAt()));
			}
		}
		NodeIdentity self = turn.self();
		nodes = nodes.plus(self.incarnation().node(), new LiveNode(self, turn.state().stopping(), turn.now()));
		turn.set(turn.state().withLiveNodes(new LiveNodes(nodes)));
		takeOrLeaveDuty(turn);
	}

	private static void takeOrLeaveDuty(MembershipTurn turn) {
		boolean chosen = Delegates
			.of(turn.state().liveNodes().notStoppingIn(turn.ownDataCentre()), turn.policy().delegates())
			.stream()
			.anyMatch((node) -> node.identity().equals(turn.self()));
		// A stopping delegate without a successor goes on, or nobody would hear its data
		// centre.
		boolean last = turn.state().stopping() && turn.delegate()
				&& turn.state().liveNodes().notStoppingIn(turn.ownDataCentre()).isEmpty();
		if ((chosen || last) == turn.delegate()) {
			return;
		}
		if (!chosen) {
			turn.set(turn.sightings().delegateSince(Instant.MIN));
			return;
		}
		Sightings sightings = turn.sightings().delegateSince(turn.now());
		for (Map.Entry<DataCentreName, DataCentreView> entry : turn.sightings().views().entrySet()) {
			sightings = sightings.withView(entry.getKey(), entry.getValue().afterPush());
		}
		turn.set(sightings);
		DataCentreView view = turn.ownView();
		DataCentreView grown = view.with(new MemberEntry(turn.self(), turn.state().stopping(), true));
		for (DirectContact contact : turn.sightings().direct().values()) {
			if (contact.identity().dataCentre().equals(turn.ownDataCentre())
					&& !Heartbeats.silent(turn, contact, turn.now())) {
				grown = grown.with(new MemberEntry(contact.identity(), contact.stopping(), true));
			}
		}
		turn.set(turn.sightings().withView(turn.ownDataCentre(), grown.vouched(turn.now())));
	}

	private static void dropSilentMembers(MembershipTurn turn) {
		DataCentreView before = turn.ownView();
		DataCentreView view = before.with(new MemberEntry(turn.self(), turn.state().stopping(), true))
			.vouched(turn.now());
		Duration bound = turn.bound();
		boolean grace = turn.sightings().delegateSince().plus(bound).isAfter(turn.now());
		PMap<NodeName, Instant> lost = turn.progress().lost();
		for (NodeName name : before.members().keySet()) {
			if (!grace && !Heartbeats.heard(turn, name) && !heardByOthers(turn, name, bound)) {
				view = view.without(name);
				lost = lost.plus(name, turn.now());
			}
		}
		for (Map.Entry<NodeName, Instant> entry : lost.entrySet()) {
			boolean back = view.members().containsKey(entry.getKey());
			if (back || entry.getValue().plus(LOST_KEPT).isBefore(turn.now())) {
				lost = lost.minus(entry.getKey());
			}
		}
		turn.set(turn.progress().withLost(lost));
		Hearing.set(turn, turn.ownDataCentre(), before, view);
	}

	private static boolean heardByOthers(MembershipTurn turn, NodeName name, Duration bound) {
		return turn.sightings()
			.words()
			.values()
			.stream()
			.anyMatch((word) -> word.heardAt().plus(bound).isAfter(turn.now()) && !word.unheard().contains(name));
	}

	// A node that hears no delegate any more turns to those that come next, and in
	// the end counts on nobody that it doesn't hear itself.
	private static void passOverSilentDelegates(MembershipTurn turn) {
		DataCentreView view = turn.ownView();
		Instant due = view.vouchedAt().plus(turn.bound().multipliedBy(view.steps() + 1L));
		if (view.members().isEmpty() || turn.now().isBefore(due)) {
			return;
		}
		DataCentreView next = view.stepped();
		if (view.steps() >= MOST_STEPS) {
			next = next.replaced(List.of());
		}
		else {
			for (LiveNode delegate : Heartbeats.delegates(turn, turn.ownDataCentre())) {
				next = next.without(delegate.identity().incarnation().node());
			}
		}
		Hearing.set(turn, turn.ownDataCentre(), view, next);
	}

	private static void dropSilentDataCentres(MembershipTurn turn) {
		Duration bound = turn.bound().multipliedBy(2);
		for (Map.Entry<DataCentreName, DataCentreView> entry : turn.sightings().views().entrySet()) {
			DataCentreView view = entry.getValue();
			boolean own = entry.getKey().equals(turn.ownDataCentre());
			if (!own && !view.members().isEmpty() && view.vouchedAt().plus(bound).isBefore(turn.now())) {
				Hearing.set(turn, entry.getKey(), view, view.replaced(List.of()));
			}
		}
	}

	private static void forgetSilentContacts(MembershipTurn turn) {
		PMap<NodeName, DirectContact> direct = turn.sightings().direct();
		for (DirectContact contact : turn.sightings().direct().values()) {
			Duration bound = contact.interval().multipliedBy(FORGOTTEN_AFTER_BOUNDS);
			if (contact.heardAt().plus(bound).isBefore(turn.now())) {
				direct = direct.minus(contact.identity().incarnation().node());
			}
		}
		turn.set(turn.sightings().withDirect(direct));
	}

	private static void push(MembershipTurn turn) {
		for (Map.Entry<DataCentreName, DataCentreView> entry : turn.sightings().views().entrySet()) {
			DataCentreView view = entry.getValue();
			if (view.hash() != view.pushedHash()) {
				MembersChanged change = view.change(entry.getKey());
				receivers(turn, entry.getKey()).forEach((node) -> turn.send(node.identity(), change));
				turn.set(turn.sightings().withView(entry.getKey(), view.afterPush()));
			}
		}
	}

	private static List<LiveNode> receivers(MembershipTurn turn, DataCentreName changed) {
		DataCentreName own = turn.ownDataCentre();
		List<LiveNode> receivers = new ArrayList<>(turn.state().liveNodes().in(own));
		receivers.removeIf((node) -> node.identity().equals(turn.self()));
		if (changed.equals(own)) {
			for (DataCentreName other : turn.sightings().views().keySet()) {
				if (!other.equals(own)) {
					receivers.addAll(Heartbeats.delegates(turn, other));
				}
			}
		}
		return receivers;
	}

}
