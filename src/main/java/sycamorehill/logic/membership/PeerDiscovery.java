package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.membership.MembershipState.DiscoveryState;
import sycamorehill.logic.platform.Jitter;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.NodeAnnouncement;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;

/**
 * Discovers the other nodes through the platform, at a low rate. Each node stores an
 * announcement under its name and lists the announcements of the others when it starts.
 * After that, delegates and nodes without a live peer list them often, all other nodes
 * rarely.
 */
final class PeerDiscovery {

	private static final int MAXIMUM_LISTED_NODES = 1000;

	private PeerDiscovery() {
	}

	static void handleTick(MembershipStep step) {
		DiscoveryState introduction = step.state().introduction();
		if (!introduction.calls().isEmpty() || !introduction.budget().allows(step.now())) {
			return;
		}
		if (isDue(step, introduction.introducedAt(), listInterval(step))) {
			step.call(MembershipCall.LIST_ANNOUNCEMENTS,
					new PlatformRequest.ListObjects(ObjectKind.NODE, "", MAXIMUM_LISTED_NODES));
		}
		else if (!step.state().stopping() && !step.now().isBefore(introduction.announceFrom())
				&& isDue(step, introduction.announcedAt(), step.policy().announcementInterval())) {
			step.call(MembershipCall.READ_ANNOUNCEMENT, new PlatformRequest.Read(ownKey(step)));
		}
	}

	static void handleAnswer(MembershipStep step, MembershipCall purpose, PlatformAnswer answer) {
		boolean failed = answer instanceof PlatformAnswer.NotTaken || answer instanceof PlatformAnswer.NotKnown;
		if (failed) {
			Duration retryAfter = (answer instanceof PlatformAnswer.NotTaken notTaken) ? notTaken.retryAfter()
					: Duration.ZERO;
			DiscoveryState introduction = step.state().introduction();
			updateState(step, postponed(step, purpose, introduction)
				.withBudget(introduction.budget().recordFailure(step.now(), retryAfter)));
			return;
		}
		updateState(step, step.state().introduction().withBudget(step.state().introduction().budget().recordSuccess()));
		switch (purpose) {
			case LIST_ANNOUNCEMENTS -> handleListed(step, (PlatformAnswer.Listed) answer);
			case READ_ANNOUNCEMENT -> checkOwnAnnouncement(step, answer);
			case WRITE_ANNOUNCEMENT -> handleWritten(step, answer);
		}
	}

	// A node that knows other nodes can wait for the next interval. Otherwise the calls
	// retried in a long outage would grow with the number of nodes and arrive as a
	// thundering herd after it.
	private static DiscoveryState postponed(MembershipStep step, MembershipCall purpose, DiscoveryState introduction) {
		if (step.state().liveNodes().nodes().size() <= 1) {
			return introduction;
		}
		if (purpose == MembershipCall.LIST_ANNOUNCEMENTS) {
			return introduction.withAnnouncementsListed(step.now(), introduction.announceFrom());
		}
		return introduction.announcedAt().equals(Instant.MIN) ? introduction
				: introduction.withAnnouncementConfirmed(step.now());
	}

	private static void handleListed(MembershipStep step, PlatformAnswer.Listed answer) {
		PeerObservations observations = step.observations();
		for (StoredObject object : answer.objects()) {
			NodeIdentity identity = ((NodeAnnouncement) object.value()).identity();
			NodeName name = identity.incarnation().node();
			boolean own = name.equals(step.self().incarnation().node());
			if (!own && !step.state().liveNodes().nodes().containsKey(name)) {
				observations = observations.withContact(identity);
			}
		}
		step.set(observations);
		DiscoveryState introduction = step.state().introduction();
		Instant announceFrom = introduction.announceFrom();
		if (announceFrom.equals(Instant.MIN)) {
			// All nodes may have started together. Their first announcements are spread
			// over a time that grows with the number of nodes.
			Duration range = Duration.ofSeconds(1)
				.multipliedBy(answer.objects().size())
				.dividedBy(step.policy().announcementsPerSecond());
			announceFrom = step.now().plus(Jitter.randomDuration(range, introduction.budget().randomState()));
		}
		updateState(step, introduction.withAnnouncementsListed(step.now(), announceFrom));
	}

	private static void checkOwnAnnouncement(MembershipStep step, PlatformAnswer answer) {
		NodeAnnouncement own = new NodeAnnouncement(step.self(), step.state().wallClock().toEpochMilli());
		if (answer instanceof PlatformAnswer.Found found) {
			if (((NodeAnnouncement) found.object().value()).identity().equals(step.self())) {
				updateState(step, step.state().introduction().withAnnouncementConfirmed(step.now()));
				return;
			}
			step.call(MembershipCall.WRITE_ANNOUNCEMENT,
					new PlatformRequest.Update(ownKey(step), own, found.object().version()));
		}
		else {
			step.call(MembershipCall.WRITE_ANNOUNCEMENT, new PlatformRequest.Create(ownKey(step), own));
		}
	}

	private static void handleWritten(MembershipStep step, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Written) {
			updateState(step, step.state().introduction().withAnnouncementConfirmed(step.now()));
		}
	}

	private static void updateState(MembershipStep step, DiscoveryState introduction) {
		step.set(step.state().withIntroduction(introduction));
	}

	private static Duration listInterval(MembershipStep step) {
		boolean alone = step.state().liveNodes().nodes().size() <= 1;
		if (alone) {
			return step.policy().shortestInterval().multipliedBy(2);
		}
		return step.isDelegate() ? step.policy().introductionInterval() : step.policy().announcementInterval();
	}

	private static boolean isDue(MembershipStep step, Instant last, Duration interval) {
		return last.equals(Instant.MIN) || !step.now().isBefore(last.plus(interval));
	}

	private static ObjectKey ownKey(MembershipStep step) {
		return ObjectKey.of(ObjectKind.NODE, step.self().incarnation().node().value());
	}

}
