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
 * Answers queries for the rollout status of a ticket. The delegates know the status of
 * their data centres from heartbeats. They are asked only when an operator queries it.
 */
final class RolloutQueryHandler {

	private RolloutQueryHandler() {
	}

	static void handleOperatorQuery(MembershipStep step, OperatorEvent.TicketForceAsked event) {
		RolloutQuery query = new RolloutQuery(event.call(), event.number(),
				step.now().plus(step.view().policy().ticket().forcePatience()), TreePMap.empty());
		if (step.isDelegate()) {
			query = query.with(ownRollout(step, event.number()));
		}
		ForceAsked message = new ForceAsked(event.call().number(), event.number());
		for (DataCentreName dataCentre : knownDataCentres(step)) {
			if (!query.answers().containsKey(dataCentre)) {
				for (LiveNode delegate : Heartbeats.otherDelegates(step, dataCentre)) {
					step.send(delegate.identity(), message);
				}
			}
		}
		updateQuery(step, query);
	}

	static void handlePeerQuery(MembershipStep step, NodeIdentity from, ForceAsked query) {
		if (step.isDelegate()) {
			step.send(from, new ForceSent(query.call(), ownRollout(step, query.number())));
		}
	}

	static void handleAnswer(MembershipStep step, ForceSent answer) {
		RolloutQuery query = step.progress().questions().get(answer.call());
		if (query != null) {
			updateQuery(step, query.with(answer.force()));
		}
	}

	static void handleTick(MembershipStep step) {
		for (RolloutQuery query : step.progress().questions().values()) {
			if (!step.now().isBefore(query.until())) {
				finish(step, query);
			}
		}
	}

	/**
	 * Records the latest ticket that this node's data centre has applied at all nodes, if
	 * this node is a delegate.
	 * @param step the current step
	 */
	static void recordProgress(MembershipStep step) {
		if (!step.isDelegate()) {
			return;
		}
		long lowest = step.ticketNumber();
		for (NodeName name : step.ownView().members().keySet()) {
			lowest = Math.min(lowest, appliedTicketNumber(step, name));
		}
		step.set(step.progress().withReached(lowest, step.state().wallClock()));
	}

	private static void updateQuery(MembershipStep step, RolloutQuery query) {
		step.set(step.progress().withQuestions(step.progress().questions().plus(query.call().number(), query)));
		if (query.answers().keySet().containsAll(knownDataCentres(step))) {
			finish(step, query);
		}
	}

	private static void finish(MembershipStep step, RolloutQuery query) {
		step.set(step.progress().withQuestions(step.progress().questions().minus(query.call().number())));
		List<DataCentreRollout> rollouts = new ArrayList<>();
		for (DataCentreName dataCentre : knownDataCentres(step)) {
			DataCentreRollout answer = query.answers().get(dataCentre);
			rollouts.add((answer != null) ? answer : unansweredRollout(step, dataCentre));
		}
		step.addEffect(new OperatorEffect.AnswerForce(query.call(),
				new TicketRollout(query.number(), step.view().ticket(query.number()), rollouts)));
	}

	private static DataCentreRollout unansweredRollout(MembershipStep step, DataCentreName dataCentre) {
		DataCentreView view = step.observations().view(dataCentre, step.now());
		int known = step.state().liveNodes().in(dataCentre).size();
		String lastConfirmation = view.isConfirmed()
				? "the last word of it came " + secondsSince(step, view.vouchedAt()) + " ago"
				: "no word of it ever came";
		String reason = "no delegate of " + dataCentre + " has answered; " + lastConfirmation
				+ ": it may serve with an older truth";
		return new DataCentreRollout(dataCentre, 0, known, Optional.empty(), List.of(reason));
	}

	private static DataCentreRollout ownRollout(MembershipStep step, long number) {
		List<String> missing = new ArrayList<>();
		PMap<NodeName, ?> members = step.ownView().members();
		for (NodeName name : members.keySet()) {
			if (appliedTicketNumber(step, name) < number) {
				missing.add(name + ": " + missingReason(step, name));
			}
		}
		int applied = members.size() - missing.size();
		Optional<Instant> since = missing.isEmpty() ? step.progress().reachedAt(number) : Optional.empty();
		for (Map.Entry<NodeName, Instant> entry : step.progress().lost().entrySet()) {
			if (!members.containsKey(entry.getKey())) {
				missing.add(entry.getKey() + ": taken for dead " + secondsSince(step, entry.getValue())
						+ " ago; if it still runs it may serve with an older truth");
			}
		}
		return new DataCentreRollout(step.ownDataCentre(), applied, members.size(), since, missing);
	}

	private static String missingReason(MembershipStep step, NodeName name) {
		DirectContact contact = step.observations().direct().get(name);
		if (contact == null) {
			return "not heard by this delegate";
		}
		return "had ticket " + contact.ticketNumber() + " when heard " + secondsSince(step, contact.heardAt()) + " ago";
	}

	private static long appliedTicketNumber(MembershipStep step, NodeName name) {
		if (name.equals(step.self().incarnation().node())) {
			return step.ticketNumber();
		}
		DirectContact contact = step.observations().direct().get(name);
		return (contact != null) ? contact.ticketNumber() : -1;
	}

	private static List<DataCentreName> knownDataCentres(MembershipStep step) {
		List<DataCentreName> names = new ArrayList<>(step.observations().views().keySet());
		if (!names.contains(step.ownDataCentre())) {
			names.add(step.ownDataCentre());
		}
		return names;
	}

	private static String secondsSince(MembershipStep step, Instant since) {
		return Duration.between(since, step.now()).toSeconds() + " s";
	}

}
