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
 * Asks the arbiter for isolation slots for this node's suspect requests, and releases the
 * slots.
 */
final class IsolationClient {

	private IsolationClient() {
	}

	static void handleIsolationWanted(QuarantineStep step, RequestEvent.IsolationWanted event) {
		RequestIdentifier request = event.request().identifier();
		Fingerprint fingerprint = event.request().fingerprint();
		PendingIsolationAsk pending = step.state().asks().get(request);
		boolean waiting = pending != null
				&& step.now().isBefore(pending.askedAt().plus(step.policy().isolationAnswer()));
		if (waiting || isDiagnosisPending(step, fingerprint)) {
			return;
		}
		step.replaceState(
				step.state().withAsks(step.state().asks().plus(request, new PendingIsolationAsk(step.now()))));
		ServiceName service = event.request().service();
		IsolationAsked ask = new IsolationAsked(request, service, fingerprint, List.copyOf(event.excluded()),
				List.copyOf(step.suspect(fingerprint).orElse(Suspect.withoutCrashes()).deaths().keySet()));
		NodeIdentity arbiter = ArbiterSelection.arbiterOf(step.view(), service);
		if (ArbiterSelection.isSelf(step.view(), arbiter)) {
			handleIsolationAnswered(step, Arbiter.handleIsolationAsked(step, ask));
		}
		else {
			step.send(arbiter, ask);
		}
	}

	private static boolean isDiagnosisPending(QuarantineStep step, Fingerprint fingerprint) {
		// A second target's connection was lost while the target ran this content.
		// Running the content again before the crash is confirmed or dismissed could
		// crash a third target.
		return step.state()
			.breaks()
			.values()
			.stream()
			.filter((found) -> !found.settled())
			.map((found) -> found.contents().get(fingerprint))
			.anyMatch((content) -> content != null && content.repeated());
	}

	static void handleIsolationAnswered(QuarantineStep step, IsolationAnswered message) {
		PendingIsolationAsk ask = step.state().asks().get(message.request());
		step.replaceState(step.state().withAsks(step.state().asks().minus(message.request())));
		if (message.target().isEmpty()) {
			return;
		}
		TargetName name = message.target().get();
		boolean onTime = ask != null && step.now().isBefore(ask.askedAt().plus(step.policy().isolationAnswer()));
		Optional<ServingTarget> target = step.view()
			.servingTargets(message.service())
			.stream()
			.filter((found) -> found.name().equals(name))
			.findFirst();
		if (!onTime || target.isEmpty()) {
			releaseSlot(step, message.service(), name, message.fingerprint());
			return;
		}
		Instant until = step.now().plus(step.policy().maximumIsolationTime());
		IsolationSlot slot = new IsolationSlot(name, message.service(), message.fingerprint(), message.request(),
				until);
		step.replaceState(step.state().withHeld(step.state().held().plus(message.request(), slot)));
		step.raise(new RequestEvent.IsolationGranted(message.request(), target.get()));
	}

	static boolean holdsSlot(QuarantineStep step, RequestIdentifier request, TargetName target) {
		IsolationSlot slot = step.state().held().get(request);
		return slot != null && slot.target().equals(target);
	}

	static void removeRequest(QuarantineStep step, RequestIdentifier request) {
		step.replaceState(step.state().withAsks(step.state().asks().minus(request)));
		IsolationSlot slot = step.state().held().get(request);
		if (slot != null && !isDiagnosisPending(step, slot.fingerprint())) {
			releaseSlot(step, request, slot);
		}
	}

	/**
	 * Releases the content's slots on a target after the suspected crash of the target
	 * has been diagnosed. A slot of the same content on another target is kept, because
	 * that target's connection may have been lost as well.
	 * @param step the current step
	 * @param target the target
	 * @param fingerprint the fingerprint of the content
	 */
	static void releaseAfterDiagnosis(QuarantineStep step, TargetName target, Fingerprint fingerprint) {
		List.copyOf(step.state().held().values())
			.stream()
			.filter((slot) -> slot.fingerprint().equals(fingerprint) && slot.target().equals(target))
			.forEach((slot) -> releaseSlot(step, slot.request(), slot));
	}

	static void dropSlots(QuarantineStep step, Fingerprint fingerprint) {
		List.copyOf(step.state().held().values())
			.stream()
			.filter((slot) -> slot.fingerprint().equals(fingerprint))
			.forEach((slot) -> step.replaceState(step.state().withHeld(step.state().held().minus(slot.request()))));
	}

	static void releaseSlot(QuarantineStep step, RequestIdentifier request, IsolationSlot slot) {
		step.replaceState(step.state().withHeld(step.state().held().minus(request)));
		releaseSlot(step, slot.service(), slot.target(), slot.fingerprint());
	}

	private static void releaseSlot(QuarantineStep step, ServiceName service, TargetName target,
			Fingerprint fingerprint) {
		IsolationReleased message = new IsolationReleased(service, target, fingerprint);
		NodeIdentity arbiter = ArbiterSelection.arbiterOf(step.view(), service);
		if (ArbiterSelection.isSelf(step.view(), arbiter)) {
			Arbiter.handleIsolationReleased(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

}
