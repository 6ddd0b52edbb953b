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
 * Decides after a lost connection whether the target crashed, and which content crashed
 * it.
 */
final class CrashDetection {

	private static final Duration LATE_FRAME_PERIOD = Duration.ofMillis(500);

	private CrashDetection() {
	}

	/**
	 * Handles the loss of a target's connection. The content becomes suspect immediately,
	 * so that it runs in isolation from then on and the other nodes are informed before
	 * its caller can retry.
	 * @param step the current step
	 * @param content the content that ran on the target
	 */
	static void handleConnectionLost(QuarantineStep step, RunningContent content) {
		TargetName name = content.target().name();
		Fingerprint fingerprint = content.fingerprint();
		if (step.isQuarantined(fingerprint) || step.isExplained(name)) {
			return;
		}
		boolean repeated = content.isolated() || step.suspect(fingerprint)
			.filter((suspect) -> suspect.hasCrashedBefore(content.startedAt()))
			.isPresent();
		boolean isolated = content.isolated()
				&& step.now().isBefore(content.startedAt().plus(step.policy().isolatedRun()));
		SuspectedCrash crash = step.state()
			.breaks()
			.getOrDefault(name, SuspectedCrash.of(content.target(), step.now()));
		store(step, crash.withContent(fingerprint, new InterruptedContent(isolated, repeated)));
		step.addCrash(fingerprint, name);
		if (!repeated) {
			reportSuspect(step, content.target().service(), name, fingerprint);
		}
		if (crash.settled()) {
			diagnose(step, step.state().breaks().get(name));
		}
	}

	private static void store(QuarantineStep step, SuspectedCrash changed) {
		step.replaceState(step.state().withBreaks(step.state().breaks().plus(changed.target().name(), changed)));
	}

	private static void reportSuspect(QuarantineStep step, ServiceName service, TargetName target,
			Fingerprint fingerprint) {
		SuspectReported message = new SuspectReported(service, new SuspectEntry(target, fingerprint));
		NodeIdentity arbiter = ArbiterSelection.arbiterOf(step.view(), service);
		if (ArbiterSelection.isSelf(step.view(), arbiter)) {
			Arbiter.handleSuspectReported(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

	/**
	 * Handles an answer to an attempt. If the attempt was already running when another
	 * one lost its connection to the same target, the connection failed, not the target.
	 * An attempt that started later proves nothing, because a plain service may have
	 * restarted in between.
	 * @param step the current step
	 * @param content the attempt
	 */
	static void handleAnswer(QuarantineStep step, RunningContent content) {
		SuspectedCrash crash = step.state().breaks().get(content.target().name());
		// Frames that the target sent before it crashed may arrive after the first
		// connection is lost.
		boolean mayBeLateFrame = crash != null && step.now().isBefore(crash.since().plus(LATE_FRAME_PERIOD));
		if (crash != null && !mayBeLateFrame && !crash.settled() && content.startedAt().isBefore(crash.since())) {
			dismiss(step, crash.target(), crash);
		}
	}

	private static void dismiss(QuarantineStep step, ServingTarget target, SuspectedCrash crash) {
		step.replaceState(step.state()
			.withBreaks(step.state().breaks().minus(target.name()))
			.withRecentDeaths(step.state().recentDeaths().minus(target.name())));
		for (Fingerprint fingerprint : crash.contents().keySet()) {
			if (step.removeCrash(fingerprint, target.name())) {
				reportCleared(step, target.service(), fingerprint);
			}
			IsolationClient.releaseAfterDiagnosis(step, target.name(), fingerprint);
		}
	}

	static void reportCleared(QuarantineStep step, ServiceName service, Fingerprint fingerprint) {
		SuspectCleared message = new SuspectCleared(service, fingerprint);
		NodeIdentity arbiter = ArbiterSelection.arbiterOf(step.view(), service);
		if (ArbiterSelection.isSelf(step.view(), arbiter)) {
			Arbiter.handleSuspectCleared(step, message);
		}
		else {
			step.send(arbiter, message);
		}
	}

	/**
	 * Confirms or dismisses the suspected crashes whose confirmation period is over. A
	 * crash is dismissed if all members of the target have been observed serving since.
	 * @param step the current step
	 */
	static void settleSuspectedCrashes(QuarantineStep step) {
		for (SuspectedCrash crash : List.copyOf(step.state().breaks().values())) {
			Instant decideAt = crash.since().plus(step.policy().deathConfirm());
			if (crash.settled() || step.now().isBefore(decideAt)) {
				continue;
			}
			if (isObservedServing(step, crash)) {
				dismiss(step, crash.target(), crash);
			}
			else {
				confirm(step, crash);
			}
		}
	}

	private static void confirm(QuarantineStep step, SuspectedCrash crash) {
		TargetName name = crash.target().name();
		step.log(LogEvent.TARGET_DIED, name + " died running " + crash.contents().size() + " requests of this node");
		step.raise(new RequestEvent.TargetDied(crash.target(), List.copyOf(crash.contents().keySet())));
		SuspectedCrash settled = crash.asSettled();
		store(step, settled);
		diagnose(step, settled);
	}

	private static void diagnose(QuarantineStep step, SuspectedCrash crash) {
		// Finds the content that crashed the target, if the evidence suffices: content
		// that ran isolated from other suspects and has crashed a target before, or else
		// the only content there that has crashed one before, unless many targets crashed
		// together.
		Optional<Fingerprint> crashingContent = findIsolatedAndRepeated(crash);
		if (crashingContent.isEmpty() && !step.isMassCrash()) {
			crashingContent = findOnlyRepeated(crash);
		}
		crashingContent.filter((fingerprint) -> step.suspect(fingerprint).isPresent())
			.ifPresent((fingerprint) -> QuarantinePropagation.quarantineContent(step, fingerprint));
		for (Map.Entry<Fingerprint, InterruptedContent> entry : crash.contents().entrySet()) {
			boolean reportWithheld = entry.getValue().repeated() && step.suspect(entry.getKey()).isPresent();
			if (reportWithheld) {
				reportSuspect(step, crash.target().service(), crash.target().name(), entry.getKey());
			}
			// A release could arrive before the quarantine is published and let another
			// copy run.
			if (step.isQuarantined(entry.getKey())) {
				IsolationClient.dropSlots(step, entry.getKey());
			}
			else {
				IsolationClient.releaseAfterDiagnosis(step, crash.target().name(), entry.getKey());
			}
		}
	}

	private static Optional<Fingerprint> findIsolatedAndRepeated(SuspectedCrash crash) {
		return crash.contents()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isolated() && entry.getValue().repeated())
			.map((entry) -> entry.getKey())
			.findFirst();
	}

	private static Optional<Fingerprint> findOnlyRepeated(SuspectedCrash crash) {
		List<Fingerprint> repeated = crash.contents()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().repeated())
			.map((entry) -> entry.getKey())
			.toList();
		return (repeated.size() == 1) ? Optional.of(repeated.get(0)) : Optional.empty();
	}

	private static boolean isObservedServing(QuarantineStep step, SuspectedCrash crash) {
		// A failed network link of this node looks like a crash of every target behind
		// it. Observations by other nodes show whether the target still serves.
		return !crash.target().members().isEmpty() && crash.target()
			.members()
			.stream()
			.allMatch((member) -> step.view()
				.observation(member)
				.filter((sight) -> sight.seenAt().isAfter(crash.since()) && isServing(sight, crash.target()))
				.isPresent());
	}

	private static boolean isServing(VmObservation sight, ServingTarget target) {
		VmReport report = sight.report();
		return report.state() == EngineState.READY && report.group().equals(target.group());
	}

}
