package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.peer.SuspectCleared;
import sycamorehill.model.peer.SuspectEntry;
import sycamorehill.model.peer.SuspectReported;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * Judges lost connections: whether the target died, and whether what it ran crashed it.
 */
final class BreakRule {

	private static final Duration LATE_FRAMES = Duration.ofMillis(500);

	private BreakRule() {
	}

	/**
	 * Takes in that a target's connection was lost. What it ran is suspected at once, so
	 * that it goes on alone, and the other nodes learn of it before its caller can send
	 * it again.
	 * @param step the step
	 * @param content what ran there
	 */
	static void broken(QuarantineStep step, RunningContent content) {
		TargetName name = content.target().name();
		Fingerprint fingerprint = content.fingerprint();
		if (step.quarantined(fingerprint) || step.explained(name)) {
			return;
		}
		boolean repeated = content.isolated()
				|| step.suspect(fingerprint).filter((suspect) -> suspect.diedBefore(content.startedAt())).isPresent();
		boolean isolated = content.isolated()
				&& step.now().isBefore(content.startedAt().plus(step.policy().isolatedRun()));
		TargetBreak found = step.state().breaks().getOrDefault(name, TargetBreak.of(content.target(), step.now()));
		put(step, found.with(fingerprint, new BrokenContent(isolated, repeated)));
		step.addDeath(fingerprint, name);
		if (!repeated) {
			report(step, content.target().service(), name, fingerprint);
		}
		if (found.settled()) {
			judge(step, step.state().breaks().get(name));
		}
	}

	private static void put(QuarantineStep step, TargetBreak changed) {
		step.replace(step.state().withBreaks(step.state().breaks().plus(changed.target().name(), changed)));
	}

	private static void report(QuarantineStep step, ServiceName service, TargetName target, Fingerprint fingerprint) {
		SuspectReported message = new SuspectReported(service, new SuspectEntry(target, fingerprint));
		NodeIdentity arbiter = Arbiters.of(step.view(), service);
		if (Arbiters.isSelf(step.view(), arbiter)) {
			ArbiterRule.reported(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

	/**
	 * Takes in that an attempt got an answer. If it was under way when another lost its
	 * connection to the same target, that connection failed, not the target. An attempt
	 * that began later says nothing: a plain service may have been started again.
	 * @param step the step
	 * @param content the attempt
	 */
	static void answered(QuarantineStep step, RunningContent content) {
		TargetBreak found = step.state().breaks().get(content.target().name());
		// What the target sent before it died may arrive after the first lost connection.
		boolean late = found != null && step.now().isBefore(found.since().plus(LATE_FRAMES));
		if (found != null && !late && !found.settled() && content.startedAt().isBefore(found.since())) {
			alive(step, found.target(), found);
		}
	}

	private static void alive(QuarantineStep step, ServingTarget target, TargetBreak found) {
		step.replace(step.state()
			.withBreaks(step.state().breaks().minus(target.name()))
			.withRecentDeaths(step.state().recentDeaths().minus(target.name())));
		for (Fingerprint fingerprint : found.contents().keySet()) {
			if (step.removeDeath(fingerprint, target.name())) {
				tellCleared(step, target.service(), fingerprint);
			}
			IsolationRule.releaseAfterBreak(step, target.name(), fingerprint);
		}
	}

	static void tellCleared(QuarantineStep step, ServiceName service, Fingerprint fingerprint) {
		SuspectCleared message = new SuspectCleared(service, fingerprint);
		NodeIdentity arbiter = Arbiters.of(step.view(), service);
		if (Arbiters.isSelf(step.view(), arbiter)) {
			ArbiterRule.cleared(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

	/**
	 * Settles the deaths of targets that have shown no sign of life for long enough.
	 * @param step the step
	 */
	static void settle(QuarantineStep step) {
		for (TargetBreak found : List.copyOf(step.state().breaks().values())) {
			Instant settleAt = found.since().plus(step.policy().deathConfirm());
			if (found.settled() || step.now().isBefore(settleAt)) {
				continue;
			}
			if (seenAlive(step, found)) {
				alive(step, found.target(), found);
			}
			else {
				died(step, found);
			}
		}
	}

	private static void died(QuarantineStep step, TargetBreak found) {
		TargetName name = found.target().name();
		step.log(LogEvent.TARGET_DIED, name + " died running " + found.contents().size() + " requests of this node");
		step.raise(new RequestEvent.TargetDied(found.target(), List.copyOf(found.contents().keySet())));
		TargetBreak settled = found.asSettled();
		put(step, settled);
		judge(step, settled);
	}

	private static void judge(QuarantineStep step, TargetBreak death) {
		// Finds the content that crashed a dead target, if that is certain enough:
		// one that ran there alone among suspects and has crashed a target before; or
		// else the only one there that has, unless many targets died together. @param
		// step the step @param death the death
		Optional<Fingerprint> guilty = isolatedAndRepeated(death);
		if (guilty.isEmpty() && !step.massDeaths()) {
			guilty = onlyRepeated(death);
		}
		guilty.filter((fingerprint) -> step.suspect(fingerprint).isPresent())
			.ifPresent((fingerprint) -> Verdicts.guilty(step, fingerprint));
		for (Map.Entry<Fingerprint, BrokenContent> entry : death.contents().entrySet()) {
			boolean heldBack = entry.getValue().repeated() && step.suspect(entry.getKey()).isPresent();
			if (heldBack) {
				report(step, death.target().service(), death.target().name(), entry.getKey());
			}
			// A release would overtake the word of the quarantine and let another copy
			// run.
			if (step.quarantined(entry.getKey())) {
				IsolationRule.drop(step, entry.getKey());
			}
			else {
				IsolationRule.releaseAfterBreak(step, death.target().name(), entry.getKey());
			}
		}
	}

	private static Optional<Fingerprint> isolatedAndRepeated(TargetBreak death) {
		return death.contents()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isolated() && entry.getValue().repeated())
			.map((entry) -> entry.getKey())
			.findFirst();
	}

	private static Optional<Fingerprint> onlyRepeated(TargetBreak death) {
		List<Fingerprint> repeated = death.contents()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().repeated())
			.map((entry) -> entry.getKey())
			.toList();
		return (repeated.size() == 1) ? Optional.of(repeated.get(0)) : Optional.empty();
	}

	private static boolean seenAlive(QuarantineStep step, TargetBreak found) {
		// One node's broken link looks like the death of every target behind it. The
		// sights of other observers tell.
		return !found.target().members().isEmpty() && found.target()
			.members()
			.stream()
			.allMatch((member) -> step.view()
				.observation(member)
				.filter((sight) -> sight.seenAt().isAfter(found.since()) && serves(sight, found.target()))
				.isPresent());
	}

	private static boolean serves(VmObservation sight, ServingTarget target) {
		VmReport report = sight.report();
		return report.state() == EngineState.READY && report.group().equals(target.group());
	}

}
