package sycamorehill.logic.quarantine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.peer.IsolationAnswered;
import sycamorehill.model.peer.IsolationAsked;
import sycamorehill.model.peer.IsolationReleased;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * What a node does with its own suspected requests: it asks the arbiter for a target, and
 * gives it back.
 */
final class IsolationRule {

	private IsolationRule() {
	}

	static void wanted(QuarantineStep step, RequestEvent.IsolationWanted event) {
		RequestIdentifier request = event.request().identifier();
		Fingerprint fingerprint = event.request().fingerprint();
		IsolationAsk asked = step.state().asks().get(request);
		boolean waiting = asked != null && step.now().isBefore(asked.askedAt().plus(step.policy().isolationAnswer()));
		if (waiting || inJudgement(step, fingerprint)) {
			return;
		}
		step.replace(step.state().withAsks(step.state().asks().plus(request, new IsolationAsk(step.now()))));
		ServiceName service = event.request().service();
		IsolationAsked ask = new IsolationAsked(request, service, fingerprint, List.copyOf(event.excluded()),
				List.copyOf(step.suspect(fingerprint).orElse(Suspect.none()).deaths().keySet()));
		NodeIdentity arbiter = Arbiters.of(step.view(), service);
		if (Arbiters.isSelf(step.view(), arbiter)) {
			answered(step, ArbiterRule.ask(step, ask));
		}
		else {
			step.send(arbiter, ask);
		}
	}

	private static boolean inJudgement(QuarantineStep step, Fingerprint fingerprint) {
		// A second target broke off while it ran this: to run it again before it is known
		// whether that target died could crash a third.
		return step.state()
			.breaks()
			.values()
			.stream()
			.filter((found) -> !found.settled())
			.map((found) -> found.contents().get(fingerprint))
			.anyMatch((content) -> content != null && content.repeated());
	}

	static void answered(QuarantineStep step, IsolationAnswered message) {
		IsolationAsk ask = step.state().asks().get(message.request());
		step.replace(step.state().withAsks(step.state().asks().minus(message.request())));
		if (message.target().isEmpty()) {
			return;
		}
		TargetName name = message.target().get();
		boolean inTime = ask != null && step.now().isBefore(ask.askedAt().plus(step.policy().isolationAnswer()));
		Optional<ServingTarget> target = step.view()
			.servingTargets(message.service())
			.stream()
			.filter((found) -> found.name().equals(name))
			.findFirst();
		if (!inTime || target.isEmpty()) {
			release(step, message.service(), name, message.fingerprint());
			return;
		}
		Instant until = step.now().plus(step.policy().maximumIsolationTime());
		IsolationSlot slot = new IsolationSlot(name, message.service(), message.fingerprint(), message.request(),
				until);
		step.replace(step.state().withHeld(step.state().held().plus(message.request(), slot)));
		step.raise(new RequestEvent.IsolationGranted(message.request(), target.get()));
	}

	static boolean holds(QuarantineStep step, RequestIdentifier request, TargetName target) {
		IsolationSlot slot = step.state().held().get(request);
		return slot != null && slot.target().equals(target);
	}

	static void forget(QuarantineStep step, RequestIdentifier request) {
		step.replace(step.state().withAsks(step.state().asks().minus(request)));
		IsolationSlot slot = step.state().held().get(request);
		if (slot != null && !inJudgement(step, slot.fingerprint())) {
			release(step, request, slot);
		}
	}

	/**
	 * Gives places on a target back after its break has been judged. A place that the
	 * same content holds on another target, where it may just have broken off too, stays
	 * taken.
	 * @param step the step
	 * @param target the target
	 * @param fingerprint the content
	 */
	static void releaseAfterBreak(QuarantineStep step, TargetName target, Fingerprint fingerprint) {
		List.copyOf(step.state().held().values())
			.stream()
			.filter((slot) -> slot.fingerprint().equals(fingerprint) && slot.target().equals(target))
			.forEach((slot) -> release(step, slot.request(), slot));
	}

	static void drop(QuarantineStep step, Fingerprint fingerprint) {
		List.copyOf(step.state().held().values())
			.stream()
			.filter((slot) -> slot.fingerprint().equals(fingerprint))
			.forEach((slot) -> step.replace(step.state().withHeld(step.state().held().minus(slot.request()))));
	}

	static void release(QuarantineStep step, RequestIdentifier request, IsolationSlot slot) {
		step.replace(step.state().withHeld(step.state().held().minus(request)));
		release(step, slot.service(), slot.target(), slot.fingerprint());
	}

	private static void release(QuarantineStep step, ServiceName service, TargetName target, Fingerprint fingerprint) {
		IsolationReleased message = new IsolationReleased(service, target, fingerprint);
		NodeIdentity arbiter = Arbiters.of(step.view(), service);
		if (Arbiters.isSelf(step.view(), arbiter)) {
			ArbiterRule.release(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

}
