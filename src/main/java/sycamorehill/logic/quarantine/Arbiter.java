package sycamorehill.logic.quarantine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.peer.IsolationAnswered;
import sycamorehill.model.peer.IsolationAsked;
import sycamorehill.model.peer.IsolationReleased;
import sycamorehill.model.peer.SuspectCleared;
import sycamorehill.model.peer.SuspectEntry;
import sycamorehill.model.peer.SuspectReported;
import sycamorehill.model.peer.SuspectsSpread;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * Implements the arbiter of a service. The arbiter assigns each suspect an isolation slot
 * on a target, at most one at a time, and publishes the suspects to all nodes.
 */
final class Arbiter {

	private static final int MAXIMUM_ENTRIES_PER_MESSAGE = 256;

	private Arbiter() {
	}

	/**
	 * Assigns a suspect a target on which no other suspect runs.
	 * <p>
	 * If two suspects ran on one target, it would be unknown which of them crashed it:
	 * harmless content might be quarantined, or the crashing content might run a third
	 * time. If one suspect ran on two targets, because its caller sent it twice, it could
	 * crash both.
	 * @param step the current step
	 * @param ask the request for a target
	 * @return the answer, without a target if none may be assigned
	 */
	static IsolationAnswered handleIsolationAsked(QuarantineStep step, IsolationAsked ask) {
		recordReportedCrashes(step, ask);
		boolean refused = step.isQuarantined(ask.fingerprint()) || hasCrashedRecently(step, ask.fingerprint());
		Optional<TargetName> target = refused ? Optional.empty() : chooseTarget(step, ask);
		target.ifPresent((name) -> reserveSlot(step, ask, name));
		return new IsolationAnswered(ask.request(), ask.service(), ask.fingerprint(), target);
	}

	private static void recordReportedCrashes(QuarantineStep step, IsolationAsked ask) {
		// The ask may arrive before the report of the crash, or reach a new arbiter that
		// never received the report.
		for (TargetName target : ask.died()) {
			boolean known = step.suspect(ask.fingerprint())
				.filter((suspect) -> suspect.deaths().containsKey(target))
				.isPresent();
			if (!known) {
				handleSuspectReported(step,
						new SuspectReported(ask.service(), new SuspectEntry(target, ask.fingerprint())));
			}
		}
	}

	private static boolean hasCrashedRecently(QuarantineStep step, Fingerprint fingerprint) {
		// Copies of the content that its caller sent at the same time crash their targets
		// at nearly the same time. Those crashes must be reported before the content runs
		// again, or a third target would crash although the evidence exists.
		Instant recentSince = step.now().minus(step.policy().isolationDelay());
		return step.suspect(fingerprint)
			.filter((suspect) -> suspect.deaths().values().stream().anyMatch((at) -> at.isAfter(recentSince)))
			.isPresent();
	}

	private static void reserveSlot(QuarantineStep step, IsolationAsked ask, TargetName target) {
		Instant until = step.now().plus(step.policy().maximumIsolationTime());
		IsolationSlot slot = new IsolationSlot(target, ask.service(), ask.fingerprint(), ask.request(), until);
		step.replaceState(step.state().withArbiter(step.state().arbiter().withSlot(slot)));
	}

	private static Optional<TargetName> chooseTarget(QuarantineStep step, IsolationAsked ask) {
		Optional<IsolationSlot> existing = step.state()
			.arbiter()
			.slots()
			.values()
			.stream()
			.filter((slot) -> slot.fingerprint().equals(ask.fingerprint()) && step.now().isBefore(slot.until()))
			.findFirst();
		if (existing.isPresent()) {
			// The answer may have been lost, so the same request receives the same slot
			// again.
			return existing.filter((slot) -> slot.request().equals(ask.request())).map(IsolationSlot::target);
		}
		List<TargetName> free = step.view()
			.servingTargets(ask.service())
			.stream()
			.map(ServingTarget::name)
			.filter((name) -> !ask.excluded().contains(name) && isFree(step, name))
			.toList();
		if (free.isEmpty()) {
			return Optional.empty();
		}
		int index = (int) (step.state().random().fraction() * free.size());
		step.replaceState(step.state().withRandom(step.state().random().next()));
		return Optional.of(free.get(index));
	}

	private static boolean isFree(QuarantineStep step, TargetName target) {
		IsolationSlot slot = step.state().arbiter().slots().get(target);
		boolean reserved = slot != null && step.now().isBefore(slot.until());
		return !reserved && !step.state().recentDeaths().containsKey(target);
	}

	static void handleIsolationReleased(QuarantineStep step, IsolationReleased message) {
		IsolationSlot slot = step.state().arbiter().slots().get(message.target());
		if (slot != null && slot.fingerprint().equals(message.fingerprint())) {
			step.replaceState(step.state().withArbiter(step.state().arbiter().withoutSlot(message.target())));
		}
	}

	/**
	 * Handles a node's report that a target's connection was lost while the target ran
	 * content.
	 * @param step the current step
	 * @param message the report
	 */
	static void handleSuspectReported(QuarantineStep step, SuspectReported message) {
		SuspectEntry entry = message.suspect();
		step.addCrash(entry.fingerprint(), entry.target());
		if (step.isQuarantined(entry.fingerprint()) || step.isExplained(entry.target())) {
			return;
		}
		step.replaceState(step.state().withArbiter(step.state().arbiter().withSuspect(entry)));
		Optional<Suspect> suspect = step.suspect(entry.fingerprint());
		if (suspect.isPresent() && aloneCrashedTwoTargets(step, entry.fingerprint(), suspect.get())) {
			QuarantinePropagation.quarantineContent(step, entry.fingerprint());
		}
	}

	private static boolean aloneCrashedTwoTargets(QuarantineStep step, Fingerprint fingerprint, Suspect suspect) {
		// A caller may send the same content to two nodes at once, so that it crashes two
		// targets before it is suspect. The content is quarantined if no other suspect
		// ran on both targets.
		if (suspect.deaths().size() < 2 || step.isMassCrash()) {
			return false;
		}
		return step.state()
			.suspects()
			.entries()
			.entrySet()
			.stream()
			.filter((other) -> !other.getKey().equals(fingerprint))
			.noneMatch((other) -> other.getValue()
				.value()
				.deaths()
				.keySet()
				.stream()
				.filter(suspect.deaths()::containsKey)
				.count() >= 2);
	}

	static void handleSuspectCleared(QuarantineStep step, SuspectCleared message) {
		step.clearSuspect(message.fingerprint());
		step.replaceState(step.state().withArbiter(step.state().arbiter().withCleared(message.fingerprint())));
	}

	/**
	 * Publishes to all nodes what has been reported since the last tick. The arbiter
	 * collects the reports, because a broadcast by every node would send a number of
	 * messages quadratic in the number of nodes for each crash.
	 * @param step the current step
	 */
	static void publishSuspects(QuarantineStep step) {
		List<SuspectEntry> suspects = step.state().arbiter().suspects();
		List<Fingerprint> cleared = step.state().arbiter().cleared();
		if (suspects.isEmpty() && cleared.isEmpty()) {
			return;
		}
		int largerSize = Math.max(suspects.size(), cleared.size());
		for (int from = 0; from < largerSize; from += MAXIMUM_ENTRIES_PER_MESSAGE) {
			step.sendToPeers(new SuspectsSpread(slice(suspects, from), slice(cleared, from)));
		}
		step.replaceState(step.state().withArbiter(step.state().arbiter().withoutUnpublished()));
	}

	private static <T> List<T> slice(List<T> all, int from) {
		int begin = Math.min(from, all.size());
		return List.copyOf(all.subList(begin, Math.min(begin + MAXIMUM_ENTRIES_PER_MESSAGE, all.size())));
	}

}
