package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.peer.DataCentreConfirmation;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.peer.MemberEntry;
import sycamorehill.model.peer.MembersAsked;
import sycamorehill.model.peer.MembersChanged;
import sycamorehill.model.peer.MembersSent;

/**
 * Handles membership messages from other nodes. A delegate considers a node of its own
 * data centre live only if it or another delegate receives the heartbeats of the node.
 * All other nodes rely on the confirmations of the delegates.
 */
final class MembershipMessageHandler {

	private MembershipMessageHandler() {
	}

	static void handleHeartbeat(MembershipStep step, NodeIdentity from, Heartbeat heartbeat) {
		if (!recordHeartbeat(step, from, heartbeat)) {
			return;
		}
		if (step.isDelegate() && from.dataCentre().equals(step.ownDataCentre())) {
			addMember(step, new MemberEntry(from, heartbeat.stopping(), true));
		}
		for (DataCentreConfirmation confirmation : confirmations(step, heartbeat)) {
			handleConfirmation(step, from, confirmation, heartbeat.unheard());
		}
		if (heartbeat.wantsReply()) {
			Heartbeats.reply(step, from);
		}
	}

	static void handleMembersAsked(MembershipStep step, NodeIdentity from, MembersAsked request) {
		DataCentreView view = step.observations().views().get(request.dataCentre());
		if (view == null || !view.isConfirmed()) {
			return;
		}
		List<MemberEntry> entries = new ArrayList<>();
		for (MemberEntry entry : view.members().values()) {
			boolean hasRecentHeartbeat = Heartbeats.hasRecentHeartbeat(step, entry.identity().incarnation().node());
			entries.add(new MemberEntry(entry.identity(), entry.stopping(), hasRecentHeartbeat));
		}
		step.send(from, new MembersSent(request.dataCentre(),
				Heartbeats.confirmationAgeMillis(step, request.dataCentre(), view), entries));
	}

	static void handleMembersSent(MembershipStep step, NodeIdentity from, MembersSent message) {
		DataCentreName dataCentre = message.dataCentre();
		DataCentreView view = step.observations().view(dataCentre, Instant.MIN);
		recordContacts(step, message.members());
		if (step.isDelegate() && dataCentre.equals(step.ownDataCentre())) {
			if (from.dataCentre().equals(dataCentre)) {
				handleMembersSentByDelegate(step, from, message);
			}
			return;
		}
		Instant confirmedAt = step.now().minus(Duration.ofMillis(message.ageMillis()));
		if (view.vouchedAt().isAfter(confirmedAt)) {
			return;
		}
		replaceView(step, dataCentre, view, view.withMembers(message.members()).withConfirmation(confirmedAt));
	}

	// The sets of two delegates can differ temporarily. A node whose heartbeats the other
	// delegate receives becomes a member here too. Every other member counts as silent at
	// the other delegate, even if its earlier report said otherwise.
	private static void handleMembersSentByDelegate(MembershipStep step, NodeIdentity from, MembersSent message) {
		Set<NodeName> withoutHeartbeat = new HashSet<>(step.ownView().members().keySet());
		for (MemberEntry entry : message.members()) {
			NodeName name = entry.identity().incarnation().node();
			if (entry.heard()) {
				withoutHeartbeat.remove(name);
			}
			if (entry.heard() && !Heartbeats.hasRecentHeartbeat(step, name)) {
				addMember(step, entry);
			}
		}
		step.set(step.observations()
			.withReport(from.incarnation().node(), new DelegateReport(step.now(), withoutHeartbeat)));
	}

	static void handleMembersChanged(MembershipStep step, MembersChanged change) {
		DataCentreName dataCentre = change.dataCentre();
		DataCentreView view = step.observations().views().get(dataCentre);
		boolean decidedHere = step.isDelegate() && dataCentre.equals(step.ownDataCentre());
		if (view == null || decidedHere || view.hash() != change.before()) {
			return;
		}
		recordContacts(step, change.present());
		DataCentreView next = view;
		for (MemberEntry entry : change.present()) {
			next = next.with(entry);
		}
		for (NodeName name : change.gone()) {
			next = next.without(name);
		}
		if (next.hash() == change.after()) {
			replaceView(step, dataCentre, view, next.withConfirmation(step.now()));
		}
	}

	/**
	 * Replaces a view and logs the changes.
	 * @param step the current step
	 * @param dataCentre the data centre
	 * @param before the previous view
	 * @param after the new view
	 */
	static void replaceView(MembershipStep step, DataCentreName dataCentre, DataCentreView before,
			DataCentreView after) {
		step.set(step.observations().withView(dataCentre, after));
		if (before.hash() != after.hash()) {
			boolean fewer = after.members().size() < before.members().size();
			step.log(fewer ? LogEvent.NODE_DEAD : LogEvent.NODE_ALIVE,
					dataCentre + ": " + ViewDifference.describe(before, after));
			Liveness.recomputeLiveNodes(step);
		}
	}

	private static void addMember(MembershipStep step, MemberEntry entry) {
		DataCentreView view = step.ownView();
		replaceView(step, step.ownDataCentre(), view, view.with(entry));
	}

	// A delayed heartbeat of the previous incarnation may arrive after a restart. It must
	// not make that incarnation live again.
	private static boolean recordHeartbeat(MembershipStep step, NodeIdentity from, Heartbeat heartbeat) {
		NodeName name = from.incarnation().node();
		DirectContact known = step.observations().direct().get(name);
		boolean newIncarnation = known != null && !known.identity().incarnation().equals(from.incarnation());
		if (newIncarnation && known.former() == from.incarnation().number()) {
			return false;
		}
		long former = newIncarnation ? known.identity().incarnation().number() : ((known != null) ? known.former() : 0);
		DirectContact contact = new DirectContact(from, former, heartbeat.stopping(), heartbeat.ticketNumber(),
				heartbeat.viewHash(), step.now(), Duration.ofMillis(heartbeat.intervalMillis()));
		step.set(step.observations().withDirect(step.observations().direct().plus(name, contact)).withContact(from));
		if (known == null || newIncarnation || known.stopping() != heartbeat.stopping()
				|| Heartbeats.isSilent(step, known, step.now())) {
			Liveness.recomputeLiveNodes(step);
		}
		if (known == null || known.ticketNumber() != heartbeat.ticketNumber()) {
			RolloutQueryHandler.recordProgress(step);
		}
		return true;
	}

	private static List<DataCentreConfirmation> confirmations(MembershipStep step, Heartbeat heartbeat) {
		if (heartbeat.agesMillis().isEmpty() || heartbeat.viewHash() != step.observations().hash()) {
			return heartbeat.vouches();
		}
		List<DataCentreConfirmation> confirmations = new ArrayList<>();
		Iterator<Integer> ages = heartbeat.agesMillis().iterator();
		step.observations().confirmedViews().forEach((name, view) -> {
			if (ages.hasNext()) {
				confirmations.add(new DataCentreConfirmation(name, view.hash(), ages.next()));
			}
		});
		return confirmations;
	}

	private static void handleConfirmation(MembershipStep step, NodeIdentity from, DataCentreConfirmation confirmation,
			List<NodeName> withoutHeartbeat) {
		DataCentreName dataCentre = confirmation.dataCentre();
		DataCentreView view = step.observations().view(dataCentre, Instant.MIN);
		boolean sameHash = view.hash() == confirmation.hash();
		if (step.isDelegate() && dataCentre.equals(step.ownDataCentre())) {
			if (!sameHash) {
				// The set is also requested if another data centre has a different one
				// for this data centre: it may contain nodes that were replaced at the
				// same address and that no delegate here knows yet.
				requestMembers(step, from, dataCentre, view);
			}
			else if (confirmation.ageMillis() == 0 && from.dataCentre().equals(dataCentre)) {
				step.set(step.observations()
					.withReport(from.incarnation().node(),
							new DelegateReport(step.now(), new HashSet<>(withoutHeartbeat))));
			}
			return;
		}
		Instant confirmedAt = step.now().minus(Duration.ofMillis(confirmation.ageMillis()));
		if (!confirmedAt.isAfter(view.vouchedAt())) {
			return;
		}
		if (sameHash && step.observations().views().containsKey(dataCentre)) {
			step.set(step.observations().withView(dataCentre, view.withConfirmation(confirmedAt)));
		}
		else {
			requestMembers(step, from, dataCentre, view);
		}
	}

	private static void requestMembers(MembershipStep step, NodeIdentity from, DataCentreName dataCentre,
			DataCentreView view) {
		// The set changes continuously while many nodes start together. Requesting the
		// complete set at each change would cost traffic that grows with the square of
		// the number of nodes.
		Duration pause = step.heartbeatInterval().dividedBy(2);
		if (!view.askedAt().equals(Instant.MIN) && step.now().isBefore(view.askedAt().plus(pause))) {
			return;
		}
		step.set(step.observations().withView(dataCentre, view.withAskedAt(step.now())));
		step.send(from, new MembersAsked(dataCentre));
	}

	private static void recordContacts(MembershipStep step, List<MemberEntry> entries) {
		PeerObservations observations = step.observations();
		for (MemberEntry entry : entries) {
			if (!entry.identity().incarnation().node().equals(step.self().incarnation().node())) {
				observations = observations.withContact(entry.identity());
			}
		}
		step.set(observations);
	}

}
