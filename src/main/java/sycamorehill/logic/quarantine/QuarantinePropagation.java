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
 * Quarantines content and propagates the quarantine to all nodes.
 */
final class QuarantinePropagation {

	private static final int MAXIMUM_DIGEST_ENTRIES = 128;

	private QuarantinePropagation() {
	}

	/**
	 * Quarantines content that crashed a second target, on this node and on all live
	 * nodes, and clears the content that ran beside it.
	 * @param step the current step
	 * @param fingerprint the fingerprint of the content
	 */
	static void quarantineContent(QuarantineStep step, Fingerprint fingerprint) {
		List<TargetName> targets = step.suspect(fingerprint)
			.map((suspect) -> List.copyOf(suspect.deaths().keySet()))
			.orElse(List.of());
		Duration duration = step.policy().quarantine();
		step.quarantine(fingerprint, step.now().plus(duration));
		step.attributeCrashes(targets);
		step.log(LogEvent.CONTENT_QUARANTINED, fingerprint.value() + " crashed " + targets);
		step.sendToPeers(new ContentQuarantined(new QuarantineEntry(fingerprint, duration), targets));
	}

	static void handleContentQuarantined(QuarantineStep step, ContentQuarantined message) {
		applyEntry(step, message.entry());
		step.attributeCrashes(message.explained());
	}

	static void applyEntry(QuarantineStep step, QuarantineEntry entry) {
		Duration maximum = step.policy().quarantine();
		Duration remaining = (entry.remaining().compareTo(maximum) < 0) ? entry.remaining() : maximum;
		step.quarantine(entry.fingerprint(), step.now().plus(remaining));
	}

	/**
	 * Sends a digest of the quarantined content to one random peer. A node that joined
	 * later has missed the quarantine messages and would let the content crash its
	 * targets.
	 * @param step the current step
	 */
	static void sendDigest(QuarantineStep step) {
		if (step.now().isBefore(step.state().digestAt())) {
			return;
		}
		step.replaceState(step.state().withDigestAt(step.now().plus(step.policy().digestEvery())));
		List<NodeIdentity> peers = step.peers();
		if (peers.isEmpty() || step.state().quarantinedCount() == 0) {
			return;
		}
		int index = (int) (step.state().random().fraction() * peers.size());
		step.replaceState(step.state().withRandom(step.state().random().next()));
		List<QuarantineEntry> entries = step.state()
			.quarantine()
			.byTime()
			.descendingSet()
			.stream()
			.limit(MAXIMUM_DIGEST_ENTRIES)
			.map((deadline) -> digestEntry(deadline, step.now()))
			.toList();
		step.send(peers.get(index), new QuarantineDigest(entries));
	}

	private static QuarantineEntry digestEntry(ContentExpiry deadline, Instant now) {
		return new QuarantineEntry(deadline.fingerprint(), Duration.between(now, deadline.at()));
	}

}
