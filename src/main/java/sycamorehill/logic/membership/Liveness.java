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
 * Decides which nodes are live, removes nodes that have been silent for too long, and
 * pushes the changes to other nodes.
 */
final class Liveness {

	private static final Duration PUSH_INTERVAL = Duration.ofSeconds(1);

	private static final Duration LOST_NODE_RETENTION = Duration.ofMinutes(10);

	private static final Duration MAXIMUM_RECOMPUTE_INTERVAL = Duration.ofSeconds(10);

	private static final long STOPPING_FACTOR = 31;

	private static final int MAXIMUM_DELEGATE_SKIPS = 2;

	private static final int CONTACT_RETENTION_INTERVALS = 20;

	private Liveness() {
	}

	static void handleTick(MembershipStep step) {
		if (step.now().isBefore(step.state().timers().nextPush())) {
			return;
		}
		step.set(step.state().withTimers(step.state().timers().withNextPush(step.now().plus(PUSH_INTERVAL))));
		if (step.isDelegate()) {
			removeSilentMembers(step);
		}
		else {
			skipSilentDelegates(step);
		}
		removeSilentDataCentres(step);
		removeSilentContacts(step);
		recomputeIfChanged(step);
		if (step.isDelegate()) {
			pushChanges(step);
			RolloutQueryHandler.recordProgress(step);
		}
	}

	// Recomputing the live nodes takes time proportional to their number. Doing so every
	// second would take most of the processor time of this reducer.
	private static void recomputeIfChanged(MembershipStep step) {
		MembershipTimers timers = step.state().timers();
		long hash = hashOfObservations(step);
		if (hash != timers.drawnFrom() || !timers.drawnAt().plus(MAXIMUM_RECOMPUTE_INTERVAL).isAfter(step.now())) {
			recomputeLiveNodes(step);
			step.set(step.state().withTimers(step.state().timers().withLiveNodesRecomputed(hash, step.now())));
		}
	}

	private static long hashOfObservations(MembershipStep step) {
		long hash = step.state().stopping() ? 1 : 0;
		for (DataCentreView view : step.observations().views().values()) {
			hash ^= view.hash();
		}
		for (DirectContact contact : step.observations().direct().values()) {
			if (!Heartbeats.isSilent(step, contact, step.now())) {
				hash += contact.identity().incarnation().hashCode() * (contact.stopping() ? STOPPING_FACTOR : 1L);
			}
		}
		return hash;
	}

	/**
	 * Recomputes the live nodes and whether this node is a delegate.
	 * @param step the current step
	 */
	static void recomputeLiveNodes(MembershipStep step) {
		PMap<NodeName, LiveNode> nodes = TreePMap.empty();
		for (DataCentreView view : step.observations().views().values()) {
			for (Map.Entry<NodeName, MemberEntry> entry : view.members().entrySet()) {
				MemberEntry member = entry.getValue();
				nodes = nodes.plus(entry.getKey(),
						new LiveNode(member.identity(), member.stopping(), view.vouchedAt()));
			}
		}
		for (Map.Entry<NodeName, DirectContact> entry : step.observations().direct().entrySet()) {
			DirectContact contact = entry.getValue();
			if (!Heartbeats.isSilent(step, contact, step.now())) {
				nodes = nodes.plus(entry.getKey(),
						new LiveNode(contact.identity(), contact.stopping(), contact.heardAt()));
			}
		}
		NodeIdentity self = step.self();
		nodes = nodes.plus(self.incarnation().node(), new LiveNode(self, step.state().stopping(), step.now()));
		step.set(step.state().withLiveNodes(new LiveNodes(nodes)));
		updateDelegateRole(step);
	}

	private static void updateDelegateRole(MembershipStep step) {
		boolean selected = Delegates
			.of(step.state().liveNodes().notStoppingIn(step.ownDataCentre()), step.policy().delegates())
			.stream()
			.anyMatch((node) -> node.identity().equals(step.self()));
		// A stopping delegate without a successor keeps its role. Otherwise the data
		// centre would have no delegate to receive its heartbeats.
		boolean lastDelegate = step.state().stopping() && step.isDelegate()
				&& step.state().liveNodes().notStoppingIn(step.ownDataCentre()).isEmpty();
		if ((selected || lastDelegate) == step.isDelegate()) {
			return;
		}
		if (!selected) {
			step.set(step.observations().withDelegateSince(Instant.MIN));
			return;
		}
		PeerObservations observations = step.observations().withDelegateSince(step.now());
		for (Map.Entry<DataCentreName, DataCentreView> entry : step.observations().views().entrySet()) {
			observations = observations.withView(entry.getKey(), entry.getValue().withPushed());
		}
		step.set(observations);
		DataCentreView view = step.ownView();
		DataCentreView extended = view.with(new MemberEntry(step.self(), step.state().stopping(), true));
		for (DirectContact contact : step.observations().direct().values()) {
			if (contact.identity().dataCentre().equals(step.ownDataCentre())
					&& !Heartbeats.isSilent(step, contact, step.now())) {
				extended = extended.with(new MemberEntry(contact.identity(), contact.stopping(), true));
			}
		}
		step.set(step.observations().withView(step.ownDataCentre(), extended.withConfirmation(step.now())));
	}

	private static void removeSilentMembers(MembershipStep step) {
		DataCentreView before = step.ownView();
		DataCentreView view = before.with(new MemberEntry(step.self(), step.state().stopping(), true))
			.withConfirmation(step.now());
		Duration timeout = step.silenceTimeout();
		boolean inGracePeriod = step.observations().delegateSince().plus(timeout).isAfter(step.now());
		PMap<NodeName, Instant> lost = step.progress().lost();
		for (NodeName name : before.members().keySet()) {
			if (!inGracePeriod && !Heartbeats.hasRecentHeartbeat(step, name)
					&& !hasHeartbeatAtOtherDelegate(step, name, timeout)) {
				view = view.without(name);
				lost = lost.plus(name, step.now());
			}
		}
		for (Map.Entry<NodeName, Instant> entry : lost.entrySet()) {
			boolean rejoined = view.members().containsKey(entry.getKey());
			if (rejoined || entry.getValue().plus(LOST_NODE_RETENTION).isBefore(step.now())) {
				lost = lost.minus(entry.getKey());
			}
		}
		step.set(step.progress().withLost(lost));
		MembershipMessageHandler.replaceView(step, step.ownDataCentre(), before, view);
	}

	private static boolean hasHeartbeatAtOtherDelegate(MembershipStep step, NodeName name, Duration timeout) {
		return step.observations()
			.words()
			.values()
			.stream()
			.anyMatch(
					(report) -> report.heardAt().plus(timeout).isAfter(step.now()) && !report.unheard().contains(name));
	}

	// A node that receives no confirmations from its delegates removes them, so that the
	// nodes with the next highest hashes become its delegates. After several attempts it
	// removes all members that it does not receive heartbeats from itself.
	private static void skipSilentDelegates(MembershipStep step) {
		DataCentreView view = step.ownView();
		Instant due = view.vouchedAt().plus(step.silenceTimeout().multipliedBy(view.steps() + 1L));
		if (view.members().isEmpty() || step.now().isBefore(due)) {
			return;
		}
		DataCentreView next = view.withDelegatesSkipped();
		if (view.steps() >= MAXIMUM_DELEGATE_SKIPS) {
			next = next.withMembers(List.of());
		}
		else {
			for (LiveNode delegate : Heartbeats.otherDelegates(step, step.ownDataCentre())) {
				next = next.without(delegate.identity().incarnation().node());
			}
		}
		MembershipMessageHandler.replaceView(step, step.ownDataCentre(), view, next);
	}

	private static void removeSilentDataCentres(MembershipStep step) {
		Duration timeout = step.silenceTimeout().multipliedBy(2);
		for (Map.Entry<DataCentreName, DataCentreView> entry : step.observations().views().entrySet()) {
			DataCentreView view = entry.getValue();
			boolean own = entry.getKey().equals(step.ownDataCentre());
			if (!own && !view.members().isEmpty() && view.vouchedAt().plus(timeout).isBefore(step.now())) {
				MembershipMessageHandler.replaceView(step, entry.getKey(), view, view.withMembers(List.of()));
			}
		}
	}

	private static void removeSilentContacts(MembershipStep step) {
		PMap<NodeName, DirectContact> direct = step.observations().direct();
		for (DirectContact contact : step.observations().direct().values()) {
			Duration timeout = contact.interval().multipliedBy(CONTACT_RETENTION_INTERVALS);
			if (contact.heardAt().plus(timeout).isBefore(step.now())) {
				direct = direct.minus(contact.identity().incarnation().node());
			}
		}
		step.set(step.observations().withDirect(direct));
	}

	private static void pushChanges(MembershipStep step) {
		for (Map.Entry<DataCentreName, DataCentreView> entry : step.observations().views().entrySet()) {
			DataCentreView view = entry.getValue();
			if (view.hash() != view.pushedHash()) {
				MembersChanged change = view.changeSincePush(entry.getKey());
				receivers(step, entry.getKey()).forEach((node) -> step.send(node.identity(), change));
				step.set(step.observations().withView(entry.getKey(), view.withPushed()));
			}
		}
	}

	private static List<LiveNode> receivers(MembershipStep step, DataCentreName changed) {
		DataCentreName own = step.ownDataCentre();
		List<LiveNode> receivers = new ArrayList<>(step.state().liveNodes().in(own));
		receivers.removeIf((node) -> node.identity().equals(step.self()));
		if (changed.equals(own)) {
			for (DataCentreName other : step.observations().views().keySet()) {
				if (!other.equals(own)) {
					receivers.addAll(Heartbeats.otherDelegates(step, other));
				}
			}
		}
		return receivers;
	}

}
