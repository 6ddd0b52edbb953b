package sycamorehill.logic.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.peer.ContentQuarantined;
import sycamorehill.model.peer.QuarantineDigest;
import sycamorehill.model.peer.QuarantineEntry;
import sycamorehill.model.request.Fingerprint;

/**
 * Quarantines content and has all nodes know.
 */
final class Verdicts {

	private static final int MOST_IN_DIGEST = 128;

	private Verdicts() {
	}

	/**
	 * Quarantines content that crashed a second target, here and on all live nodes at
	 * once, and clears what ran beside it.
	 * @param step the step
	 * @param fingerprint the content
	 */
	static void guilty(QuarantineStep step, Fingerprint fingerprint) {
		List<TargetName> targets = step.suspect(fingerprint)
			.map((suspect) -> List.copyOf(suspect.deaths().keySet()))
			.orElse(List.of());
		Duration time = step.policy().quarantine();
		step.quarantine(fingerprint, step.now().plus(time));
		step.explain(targets);
		step.log(LogEvent.CONTENT_QUARANTINED, fingerprint.value() + " crashed " + targets);
		step.sendToOthers(new ContentQuarantined(new QuarantineEntry(fingerprint, time), targets));
	}

	static void told(QuarantineStep step, ContentQuarantined message) {
		learn(step, message.entry());
		step.explain(message.explained());
	}

	static void learn(QuarantineStep step, QuarantineEntry entry) {
		Duration longest = step.policy().quarantine();
		Duration remaining = (entry.remaining().compareTo(longest) < 0) ? entry.remaining() : longest;
		step.quarantine(entry.fingerprint(), step.now().plus(remaining));
	}

	/**
	 * Tells one other node, drawn at random, what is quarantined. A node that joined has
	 * missed the messages sent when it was decided, and would let the content crash its
	 * targets.
	 * @param step the step
	 */
	static void digest(QuarantineStep step) {
		if (step.now().isBefore(step.state().digestAt())) {
			return;
		}
		step.replace(step.state().withDigestAt(step.now().plus(step.policy().digestEvery())));
		List<NodeIdentity> others = step.others();
		if (others.isEmpty() || step.state().quarantinedCount() == 0) {
			return;
		}
		int drawn = (int) (step.state().random().fraction() * others.size());
		step.replace(step.state().withRandom(step.state().random().next()));
		List<QuarantineEntry> entries = step.state()
			.quarantine()
			.byTime()
			.descendingSet()
			.stream()
			.limit(MOST_IN_DIGEST)
			.map((deadline) -> entry(deadline, step.now()))
			.toList();
		step.send(others.get(drawn), new QuarantineDigest(entries));
	}

	private static QuarantineEntry entry(ContentDeadline deadline, Instant now) {
		return new QuarantineEntry(deadline.fingerprint(), Duration.between(now, deadline.at()));
	}

}
