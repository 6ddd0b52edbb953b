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
final class ArbiterRule {

	private static final int MOST_IN_ONE_MESSAGE = 256;

	private ArbiterRule() {
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
	static IsolationAnswered ask(QuarantineStep step, IsolationAsked ask) {
		learnDeaths(step, ask);
		boolean refused = step.quarantined(ask.fingerprint()) || tooEarly(step, ask.fingerprint());
		Optional<TargetName> target = refused ? Optional.empty() : choose(step, ask);
		target.ifPresent((name) -> take(step, ask, name));
		return new IsolationAnswered(ask.request(), ask.service(), ask.fingerprint(), target);
	}

	private static void learnDeaths(QuarantineStep step, IsolationAsked ask) {
		// The question may overtake the report of the death, or reach a new arbiter
		// that was never told of it.
		for (TargetName target : ask.died()) {
			boolean known = step.suspect(ask.fingerprint())
				.filter((suspect) -> suspect.deaths().containsKey(target))
				.isPresent();
			if (!known) {
				reported(step, new SuspectReported(ask.service(), new SuspectEntry(target, ask.fingerprint())));
			}
		}
	}

	private static boolean tooEarly(QuarantineStep step, Fingerprint fingerprint) {
		// Copies of the content that its caller sent at the same moment die at nearly the
		// same time. Their deaths have to be told before it runs again, or a third target
		// would die for what is known.
		Instant latestDeath = step.now().minus(step.policy().isolationDelay());
		return step.suspect(fingerprint)
			.filter((suspect) -> suspect.deaths().values().stream().anyMatch((at) -> at.isAfter(latestDeath)))
			.isPresent();
	}

	private static void take(QuarantineStep step, IsolationAsked ask, TargetName target) {
		Instant until = step.now().plus(step.policy().maximumIsolationTime());
		IsolationSlot slot = new IsolationSlot(target, ask.service(), ask.fingerprint(), ask.request(), until);
		step.replace(step.state().withArbiter(step.state().arbiter().with(slot)));
	}

	private static Optional<TargetName> choose(QuarantineStep step, IsolationAsked ask) {
		Optional<IsolationSlot> own = step.state()
			.arbiter()
			.slots()
			.values()
			.stream()
			.filter((slot) -> slot.fingerprint().equals(ask.fingerprint()) && step.now().isBefore(slot.until()))
			.findFirst();
		if (own.isPresent()) {
			// The answer may have been lost: the same request gets the same place again.
			return own.filter((slot) -> slot.request().equals(ask.request())).map(IsolationSlot::target);
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
		int drawn = (int) (step.state().random().fraction() * free.size());
		step.replace(step.state().withRandom(step.state().random().next()));
		return Optional.of(free.get(drawn));
	}

	private static boolean isFree(QuarantineStep step, TargetName target) {
		IsolationSlot slot = step.state().arbiter().slots().get(target);
		boolean taken = slot != null && step.now().isBefore(slot.until());
		return !taken && !step.state().recentDeaths().containsKey(target);
	}

	static void release(QuarantineStep step, IsolationReleased message) {
		IsolationSlot slot = step.state().arbiter().slots().get(message.target());
		if (slot != null && slot.fingerprint().equals(message.fingerprint())) {
			step.replace(step.state().withArbiter(step.state().arbiter().without(message.target())));
		}
	}

	/**
	 * Takes in that a target broke off while it ran content on some node.
	 * @param step the step
	 * @param message that node's word
	 */
	static void reported(QuarantineStep step, SuspectReported message) {
		SuspectEntry entry = message.suspect();
		step.addDeath(entry.fingerprint(), entry.target());
		if (step.quarantined(entry.fingerprint()) || step.explained(entry.target())) {
			return;
		}
		step.replace(step.state().withArbiter(step.state().arbiter().withSuspect(entry)));
		Optional<Suspect> suspect = step.suspect(entry.fingerprint());
		if (suspect.isPresent() && crashedTwo(step, entry.fingerprint(), suspect.get())) {
			Verdicts.guilty(step, entry.fingerprint());
		}
	}

	private static boolean crashedTwo(QuarantineStep step, Fingerprint fingerprint, Suspect suspect) {
		// A caller may send the same content to two nodes at once: it crashes two targets
		// before anything is suspected. Content that alone ran on both is guilty.
		if (suspect.deaths().size() < 2 || step.massDeaths()) {
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

	static void cleared(QuarantineStep step, SuspectCleared message) {
		step.clear(message.fingerprint());
		step.replace(step.state().withArbiter(step.state().arbiter().withCleared(message.fingerprint())));
	}

	/**
	 * Tells all nodes what has been reported since the last tick. One node gathers it: if
	 * each told all others, the death of one target would make as many messages as the
	 * square of the nodes.
	 * @param step the step
	 */
	static void spread(QuarantineStep step) {
		List<SuspectEntry> suspects = step.state().arbiter().suspects();
		List<Fingerprint> cleared = step.state().arbiter().cleared();
		if (suspects.isEmpty() && cleared.isEmpty()) {
			return;
		}
		int longest = Math.max(suspects.size(), cleared.size());
		for (int from = 0; from < longest; from += MOST_IN_ONE_MESSAGE) {
			step.sendToOthers(new SuspectsSpread(part(suspects, from), part(cleared, from)));
		}
		step.replace(step.state().withArbiter(step.state().arbiter().spread()));
	}

	private static <T> List<T> part(List<T> all, int from) {
		int begin = Math.min(from, all.size());
		return List.copyOf(all.subList(begin, Math.min(begin + MOST_IN_ONE_MESSAGE, all.size())));
	}

}
