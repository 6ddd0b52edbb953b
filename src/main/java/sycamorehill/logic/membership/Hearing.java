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
 * Takes in what other nodes say. A delegate counts a node of its own data centre as alive
 * only if it hears it itself or another delegate does; every other node takes the word of
 * the delegates.
 */
final class Hearing {

	private Hearing() {
	}

	static void heartbeat(MembershipTurn turn, NodeIdentity from, Heartbeat heartbeat) {
		if (!direct(turn, from, heartbeat)) {
			return;
		}
		if (turn.delegate() && from.dataCentre().equals(turn.ownDataCentre())) {
			admit(turn, new MemberEntry(from, heartbeat.stopping(), true));
		}
		for (DataCentreConfirmation vouch : vouches(turn, heartbeat)) {
			vouched(turn, from, vouch, heartbeat.unheard());
		}
		if (heartbeat.wantsReply()) {
			Heartbeats.reply(turn, from);
		}
	}

	static void asked(MembershipTurn turn, NodeIdentity from, MembersAsked question) {
		DataCentreView view = turn.sightings().views().get(question.dataCentre());
		if (view == null || !view.known()) {
			return;
		}
		List<MemberEntry> entries = new ArrayList<>();
		for (MemberEntry entry : view.members().values()) {
			boolean heard = Heartbeats.heard(turn, entry.identity().incarnation().node());
			entries.add(new MemberEntry(entry.identity(), entry.stopping(), heard));
		}
		turn.send(from, new MembersSent(question.dataCentre(), Heartbeats.ageMillis(turn, question.dataCentre(), view),
				entries));
	}

	static void sent(MembershipTurn turn, NodeIdentity from, MembersSent message) {
		DataCentreName dataCentre = message.dataCentre();
		DataCentreView view = turn.sightings().view(dataCentre, Instant.MIN);
		remember(turn, message.members());
		if (turn.delegate() && dataCentre.equals(turn.ownDataCentre())) {
			if (from.dataCentre().equals(dataCentre)) {
				sentByDelegate(turn, from, message);
			}
			return;
		}
		Instant vouchedAt = turn.now().minus(Duration.ofMillis(message.ageMillis()));
		if (view.vouchedAt().isAfter(vouchedAt)) {
			return;
		}
		set(turn, dataCentre, view, view.replaced(message.members()).vouched(vouchedAt));
	}

	// Two delegates whose sets differ for a while: what the other one hears itself counts
	// here too, and what it does not hear no longer stands on its earlier word.
	private static void sentByDelegate(MembershipTurn turn, NodeIdentity from, MembersSent message) {
		Set<NodeName> unheard = new HashSet<>(turn.ownView().members().keySet());
		for (MemberEntry entry : message.members()) {
			NodeName name = entry.identity().incarnation().node();
			if (entry.heard()) {
				unheard.remove(name);
			}
			if (entry.heard() && !Heartbeats.heard(turn, name)) {
				admit(turn, entry);
			}
		}
		turn.set(turn.sightings().withWord(from.incarnation().node(), new DelegateWord(turn.now(), unheard)));
	}

	static void changed(MembershipTurn turn, MembersChanged change) {
		DataCentreName dataCentre = change.dataCentre();
		DataCentreView view = turn.sightings().views().get(dataCentre);
		boolean ownJudgement = turn.delegate() && dataCentre.equals(turn.ownDataCentre());
		if (view == null || ownJudgement || view.hash() != change.before()) {
			return;
		}
		remember(turn, change.present());
		DataCentreView next = view;
		for (MemberEntry entry : change.present()) {
			next = next.with(entry);
		}
		for (NodeName name : change.gone()) {
			next = next.without(name);
		}
		if (next.hash() == change.after()) {
			set(turn, dataCentre, view, next.vouched(turn.now()));
		}
	}

	/**
	 * Replaces a view and writes what has changed into the log.
	 * @param turn the step under way
	 * @param dataCentre the data centre
	 * @param before the view before
	 * @param after the view after
	 */
	static void set(MembershipTurn turn, DataCentreName dataCentre, DataCentreView before, DataCentreView after) {
		turn.set(turn.sightings().withView(dataCentre, after));
		if (before.hash() != after.hash()) {
			boolean fewer = after.members().size() < before.members().size();
			turn.log(fewer ? LogEvent.NODE_DEAD : LogEvent.NODE_ALIVE,
					dataCentre + ": " + ViewDifference.describe(before, after));
			Liveness.refresh(turn);
		}
	}

	private static void admit(MembershipTurn turn, MemberEntry entry) {
		DataCentreView view = turn.ownView();
		set(turn, turn.ownDataCentre(), view, view.with(entry));
	}

	// A heartbeat of an earlier life of a restarted node may still be on its way: it must
	// not bring that life back.
	private static boolean direct(MembershipTurn turn, NodeIdentity from, Heartbeat heartbeat) {
		NodeName name = from.incarnation().node();
		DirectContact known = turn.sightings().direct().get(name);
		boolean newLife = known != null && !known.identity().incarnation().equals(from.incarnation());
		if (newLife && known.former() == from.incarnation().number()) {
			return false;
		}
		long former = newLife ? known.identity().incarnation().number() : ((known != null) ? known.former() : 0);
		DirectContact contact = new DirectContact(from, former, heartbeat.stopping(), heartbeat.ticketNumber(),
				heartbeat.viewHash(), turn.now(), Duration.ofMillis(heartbeat.intervalMillis()));
		turn.set(turn.sightings().withDirect(turn.sightings().direct().plus(name, contact)).withContact(from));
		if (known == null || newLife || known.stopping() != heartbeat.stopping()
				|| Heartbeats.silent(turn, known, turn.now())) {
			Liveness.refresh(turn);
		}
		if (known == null || known.ticketNumber() != heartbeat.ticketNumber()) {
			ForceSteps.measure(turn);
		}
		return true;
	}

	private static List<DataCentreConfirmation> vouches(MembershipTurn turn, Heartbeat heartbeat) {
		if (heartbeat.agesMillis().isEmpty() || heartbeat.viewHash() != turn.sightings().hash()) {
			return heartbeat.vouches();
		}
		List<DataCentreConfirmation> vouches = new ArrayList<>();
		Iterator<Integer> ages = heartbeat.agesMillis().iterator();
		turn.sightings().known().forEach((name, view) -> {
			if (ages.hasNext()) {
				vouches.add(new DataCentreConfirmation(name, view.hash(), ages.next()));
			}
		});
		return vouches;
	}

	private static void vouched(MembershipTurn turn, NodeIdentity from, DataCentreConfirmation vouch,
			List<NodeName> unheard) {
		DataCentreName dataCentre = vouch.dataCentre();
		DataCentreView view = turn.sightings().view(dataCentre, Instant.MIN);
		boolean same = view.hash() == vouch.hash();
		if (turn.delegate() && dataCentre.equals(turn.ownDataCentre())) {
			if (!same) {
				// Also another data centre's word of this one is asked for: it may
				// name nodes that were replaced and that nobody here has met yet.
				ask(turn, from, dataCentre, view);
			}
			else if (vouch.ageMillis() == 0 && from.dataCentre().equals(dataCentre)) {
				turn.set(turn.sightings()
					.withWord(from.incarnation().node(), new DelegateWord(turn.now(), new HashSet<>(unheard))));
			}
			return;
		}
		Instant vouchedAt = turn.now().minus(Duration.ofMillis(vouch.ageMillis()));
		if (!vouchedAt.isAfter(view.vouchedAt())) {
			return;
		}
		if (same && turn.sightings().views().containsKey(dataCentre)) {
			turn.set(turn.sightings().withView(dataCentre, view.vouched(vouchedAt)));
		}
		else {
			ask(turn, from, dataCentre, view);
		}
	}

	private static void ask(MembershipTurn turn, NodeIdentity from, DataCentreName dataCentre, DataCentreView view) {
		// While many nodes come at once the set changes all the time: asking for the
		// whole list at each change would cost with the square of the nodes.
		Duration pause = turn.interval().dividedBy(2);
		if (!view.askedAt().equals(Instant.MIN) && turn.now().isBefore(view.askedAt().plus(pause))) {
			return;
		}
		turn.set(turn.sightings().withView(dataCentre, view.asked(turn.now())));
		turn.send(from, new MembersAsked(dataCentre));
	}

	private static void remember(MembershipTurn turn, List<MemberEntry> entries) {
		Sightings sightings = turn.sightings();
		for (MemberEntry entry : entries) {
			if (!entry.identity().incarnation().node().equals(turn.self().incarnation().node())) {
				sightings = sightings.withContact(entry.identity());
			}
		}
		turn.set(sightings);
	}

}
