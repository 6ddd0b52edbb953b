package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import sycamorehill.logic.membership.MembershipState.IntroductionState;
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
 * Meets the other nodes through the platform, at a low rate: each node keeps an
 * announcement under its name, and reads those of the others at start-up; later only
 * delegates and nodes without a living peer read them again.
 */
final class Introduction {

	private static final int MOST_NODES = 1000;

	private Introduction() {
	}

	static void ticked(MembershipTurn turn) {
		IntroductionState introduction = turn.state().introduction();
		if (!introduction.calls().isEmpty() || !introduction.budget().allows(turn.now())) {
			return;
		}
		if (due(turn, introduction.introducedAt(), introductionInterval(turn))) {
			turn.call(MembershipCall.LIST_ANNOUNCEMENTS,
					new PlatformRequest.ListObjects(ObjectKind.NODE, "", MOST_NODES));
		}
		else if (!turn.state().stopping() && !turn.now().isBefore(introduction.announceFrom())
				&& due(turn, introduction.announcedAt(), turn.policy().announcementInterval())) {
			turn.call(MembershipCall.READ_ANNOUNCEMENT, new PlatformRequest.Read(ownKey(turn)));
		}
	}

	static void answered(MembershipTurn turn, MembershipCall purpose, PlatformAnswer answer) {
		boolean failed = answer instanceof PlatformAnswer.NotTaken || answer instanceof PlatformAnswer.NotKnown;
		if (failed) {
			Duration retryAfter = (answer instanceof PlatformAnswer.NotTaken notTaken) ? notTaken.retryAfter()
					: Duration.ZERO;
			IntroductionState introduction = turn.state().introduction();
			set(turn, postponed(turn, purpose, introduction)
				.withBudget(introduction.budget().recordFailure(turn.now(), retryAfter)));
			return;
		}
		set(turn, turn.state().introduction().withBudget(turn.state().introduction().budget().recordSuccess()));
		switch (purpose) {
			case LIST_ANNOUNCEMENTS -> introduced(turn, (PlatformAnswer.Listed) answer);
			case READ_ANNOUNCEMENT -> compare(turn, answer);
			case WRITE_ANNOUNCEMENT -> written(turn, answer);
		}
	}

	// A node that knows others does not need to be introduced now: in a long outage the
	// calls of the whole fleet would otherwise grow with its size and come back as a
	// herd.
	private static IntroductionState postponed(MembershipTurn turn, MembershipCall purpose,
			IntroductionState introduction) {
		if (turn.state().liveNodes().nodes().size() <= 1) {
			return introduction;
		}
		if (purpose == MembershipCall.LIST_ANNOUNCEMENTS) {
			return introduction.introduced(turn.now(), introduction.announceFrom());
		}
		return introduction.announcedAt().equals(Instant.MIN) ? introduction : introduction.announced(turn.now());
	}

	private static void introduced(MembershipTurn turn, PlatformAnswer.Listed answer) {
		Sightings sightings = turn.sightings();
		for (StoredObject object : answer.objects()) {
			NodeIdentity identity = ((NodeAnnouncement) object.value()).identity();
			NodeName name = identity.incarnation().node();
			boolean own = name.equals(turn.self().incarnation().node());
			if (!own && !turn.state().liveNodes().nodes().containsKey(name)) {
				sightings = sightings.withContact(identity);
			}
		}
		turn.set(sightings);
		IntroductionState introduction = turn.state().introduction();
		Instant from = introduction.announceFrom();
		if (from.equals(Instant.MIN)) {
			// All nodes may have started together: their first writes are spread over a
			// time that grows with their number.
			Duration range = Duration.ofSeconds(1)
				.multipliedBy(answer.objects().size())
				.dividedBy(turn.policy().announcementsPerSecond());
			from = turn.now().plus(Jitter.randomDuration(range, introduction.budget().randomState()));
		}
		set(turn, introduction.introduced(turn.now(), from));
	}

	private static void compare(MembershipTurn turn, PlatformAnswer answer) {
		NodeAnnouncement own = new NodeAnnouncement(turn.self(), turn.state().wallClock().toEpochMilli());
		if (answer instanceof PlatformAnswer.Found found) {
			if (((NodeAnnouncement) found.object().value()).identity().equals(turn.self())) {
				set(turn, turn.state().introduction().announced(turn.now()));
				return;
			}
			turn.call(MembershipCall.WRITE_ANNOUNCEMENT,
					new PlatformRequest.Update(ownKey(turn), own, found.object().version()));
		}
		else {
			turn.call(MembershipCall.WRITE_ANNOUNCEMENT, new PlatformRequest.Create(ownKey(turn), own));
		}
	}

	private static void written(MembershipTurn turn, PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Written) {
			set(turn, turn.state().introduction().announced(turn.now()));
		}
	}

	private static void set(MembershipTurn turn, IntroductionState introduction) {
		turn.set(turn.state().withIntroduction(introduction));
	}

	private static Duration introductionInterval(MembershipTurn turn) {
		boolean alone = turn.state().liveNodes().nodes().size() <= 1;
		if (alone) {
			return turn.policy().shortestInterval().multipliedBy(2);
		}
		return turn.delegate() ? turn.policy().introductionInterval() : turn.policy().announcementInterval();
	}

	private static boolean due(MembershipTurn turn, Instant last, Duration interval) {
		return last.equals(Instant.MIN) || !turn.now().isBefore(last.plus(interval));
	}

	private static ObjectKey ownKey(MembershipTurn turn) {
		return ObjectKey.of(ObjectKind.NODE, turn.self().incarnation().node().value());
	}

}
