package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.effect.OperatorEffect;
import sycamorehill.model.event.OperatorEvent;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.ForceAsked;
import sycamorehill.model.peer.ForceSent;
import sycamorehill.model.ticket.DataCentreRollout;
import sycamorehill.model.ticket.TicketRollout;

/**
 * Answers where a ticket is in force. The delegates know it from heartbeats and are asked
 * only when an operator asks.
 */
final class ForceSteps {

	private ForceSteps() {
	}

	static void asked(MembershipTurn turn, OperatorEvent.TicketForceAsked event) {
		ForceQuestion question = new ForceQuestion(event.call(), event.number(),
				turn.now().plus(turn.view().policy().ticket().forcePatience()), TreePMap.empty());
		if (turn.delegate()) {
			question = question.with(force(turn, event.number()));
		}
		ForceAsked message = new ForceAsked(event.call().number(), event.number());
		for (DataCentreName dataCentre : dataCentres(turn)) {
			if (!question.answers().containsKey(dataCentre)) {
				for (LiveNode delegate : Heartbeats.delegates(turn, dataCentre)) {
					turn.send(delegate.identity(), message);
				}
			}
		}
		put(turn, question);
	}

	static void questionReceived(MembershipTurn turn, NodeIdentity from, ForceAsked question) {
		if (turn.delegate()) {
			turn.send(from, new ForceSent(question.call(), force(turn, question.number())));
		}
	}

	static void answerReceived(MembershipTurn turn, ForceSent answer) {
		ForceQuestion question = turn.progress().questions().get(answer.call());
		if (question != null) {
			put(turn, question.with(answer.force()));
		}
	}

	static void ticked(MembershipTurn turn) {
		for (ForceQuestion question : turn.progress().questions().values()) {
			if (!turn.now().isBefore(question.until())) {
				finish(turn, question);
			}
		}
	}

	/**
	 * Takes down how far all nodes of the own data centre are.
	 * @param turn the step under way
	 */
	static void measure(MembershipTurn turn) {
		if (!turn.delegate()) {
			return;
		}
		long lowest = turn.ticketNumber();
		for (NodeName name : turn.ownView().members().keySet()) {
			lowest = Math.min(lowest, number(turn, name));
		}
		turn.set(turn.progress().reached(lowest, turn.state().wallClock()));
	}

	private static void put(MembershipTurn turn, ForceQuestion question) {
		turn.set(turn.progress().withQuestions(turn.progress().questions().plus(question.call().number(), question)));
		if (question.answers().keySet().containsAll(dataCentres(turn))) {
			finish(turn, question);
		}
	}

	private static void finish(MembershipTurn turn, ForceQuestion question) {
		turn.set(turn.progress().withQuestions(turn.progress().questions().minus(question.call().number())));
		List<DataCentreRollout> forces = new ArrayList<>();
		for (DataCentreName dataCentre : dataCentres(turn)) {
			DataCentreRollout answer = question.answers().get(dataCentre);
			forces.add((answer != null) ? answer : silent(turn, dataCentre));
		}
		turn.add(new OperatorEffect.AnswerForce(question.call(),
				new TicketRollout(question.number(), turn.view().ticket(question.number()), forces)));
	}

	private static DataCentreRollout silent(MembershipTurn turn, DataCentreName dataCentre) {
		DataCentreView view = turn.sightings().view(dataCentre, turn.now());
		int known = turn.state().liveNodes().in(dataCentre).size();
		String last = view.known() ? "the last word of it came " + seconds(turn, view.vouchedAt()) + " ago"
				: "no word of it ever came";
		String reason = "no delegate of " + dataCentre + " has answered; " + last
				+ ": it may serve with an older truth";
		return new DataCentreRollout(dataCentre, 0, known, Optional.empty(), List.of(reason));
	}

	private static DataCentreRollout force(MembershipTurn turn, long number) {
		List<String> missing = new ArrayList<>();
		PMap<NodeName, ?> members = turn.ownView().members();
		for (NodeName name : members.keySet()) {
			if (number(turn, name) < number) {
				missing.add(name + ": " + reason(turn, name));
			}
		}
		int inForce = members.size() - missing.size();
		Optional<Instant> since = missing.isEmpty() ? turn.progress().since(number) : Optional.empty();
		for (Map.Entry<NodeName, Instant> entry : turn.progress().lost().entrySet()) {
			if (!members.containsKey(entry.getKey())) {
				missing.add(entry.getKey() + ": taken for dead " + seconds(turn, entry.getValue())
						+ " ago; if it still runs it may serve with an older truth");
			}
		}
		return new DataCentreRollout(turn.ownDataCentre(), inForce, members.size(), since, missing);
	}

	private static String reason(MembershipTurn turn, NodeName name) {
		DirectContact contact = turn.sightings().direct().get(name);
		if (contact == null) {
			return "not heard by this delegate";
		}
		return "had ticket " + contact.ticketNumber() + " when heard " + seconds(turn, contact.heardAt()) + " ago";
	}

	private static long number(MembershipTurn turn, NodeName name) {
		if (name.equals(turn.self().incarnation().node())) {
			return turn.ticketNumber();
		}
		DirectContact contact = turn.sightings().direct().get(name);
		return (contact != null) ? contact.ticketNumber() : -1;
	}

	private static List<DataCentreName> dataCentres(MembershipTurn turn) {
		List<DataCentreName> names = new ArrayList<>(turn.sightings().views().keySet());
		if (!names.contains(turn.ownDataCentre())) {
			names.add(turn.ownDataCentre());
		}
		return names;
	}

	private static String seconds(MembershipTurn turn, Instant since) {
		return Duration.between(since, turn.now()).toSeconds() + " s";
	}

}
