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
 * What a node does as the arbiter of a service: it gives each suspect a target for
 * itself, at most one at a time, and tells all nodes what is suspected.
 */
final class Arbiter {

	private static final int MAXIMUM_ENTRIES_PER_MESSAGE = 256;

	private Arbiter() {
	}

	/**
	 * Gives a suspect a target on which no other suspect runs.
	 * <p>
	 * Two suspects on one target would leave open which of them crashed it, so a
	 * bystander would be quarantined or the guilty one run a third time. One suspect on
	 * two targets, because its caller sent it twice, would crash both.
	 * @param step the step
	 * @param ask the question
	 * @return the answer
	 */
	static IsolationAnswered handleIsolationAsked(QuarantineStep step, IsolationAsked ask) {
		recordReportedCrashes(step, ask);
		boolean refused = step.isQuarantined(ask.fingerprint()) || hasCrashedRecently(step, ask.fingerprint());
		Optional<TargetName> target = refused ? Optional.empty() : chooseTarget(step, ask);
		target.ifPresent((name) -> reserveSlot(step, ask, name));
		return new IsolationAnswered(ask.request(), ask.service(), ask.fingerprint(), target);
	}

	private static void recordReportedCrashes(QuarantineStep step, IsolationAsked ask) {
		// The question may overtake the report of the death, or reach a new arbiter
		// that was never told of it.
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
		// Copies of the content that its caller sent at the same moment die at nearly the
		// same time. Their deaths have to be told before it runs again, or a third target
		// would die for what is known.
		Instant recentSince = step.now().minus(step.policy().isolationDelay());
		return step.suspect(fingerprint)
			.filter((suspect) -> suspect.deaths().values().stream().anyMatch((at) -> at.isAfter(recentSince)))
			.isPresent();
	}

	private static void reserveSlot(QuarantineStep step, IsolationAsked ask, TargetName target) {
		Instant until = step.now().plus(step.policy().slotTime());
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
			// The answer may have been lost: the same request gets the same place again.
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
	 * Takes in that a target broke off while it ran content on some node.
	 * @param step the step
	 * @param message that node's word
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
		// A caller may send the same content to two nodes at once: it crashes two targets
		// before anything is suspected. Content that alone ran on both is guilty.
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
	 * Tells all nodes what has been reported since the last tick. One node gathers it: if
	 * each told all others, the death of one target would make as many messages as the
	 * square of the nodes.
	 * @param step the step
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
