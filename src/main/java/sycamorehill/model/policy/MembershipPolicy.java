package sycamorehill.model.policy;

import java.time.Duration;
import java.util.List;

import sycamorehill.model.membership.NodeContact;

/**
 * Bounds of heartbeats.
 *
 * @param shortestInterval the time between two heartbeats in a small data centre
 * @param heartbeatsPerSecond the most heartbeats a second that one delegate receives from
 * its data centre: beyond it the interval grows with the data centre
 * @param missedHeartbeats a node is taken for dead after so many intervals of silence
 * @param delegates how many nodes of a data centre speak for it
 * @param introductionInterval how often a delegate reads the announcements
 * @param announcementInterval how often a node makes sure of its own announcement
 * @param callTimeout after it the answer of a platform call is not known
 * @param firstBackoff the wait after the first failed platform call
 * @param longestBackoff the longest wait between failed platform calls
 * @param announcementsPerSecond the most announcements a second when all nodes start
 * together
 * @param contacts where other nodes may be met while the platform can't introduce them
 */
public record MembershipPolicy(Duration shortestInterval, int heartbeatsPerSecond, int missedHeartbeats, int delegates,
		Duration introductionInterval, Duration announcementInterval, Duration callTimeout, Duration firstBackoff,
		Duration longestBackoff, int announcementsPerSecond, List<NodeContact> contacts) {

	/**
	 * Takes a copy of the contacts.
	 */
	public MembershipPolicy {
		contacts = List.copyOf(contacts);
	}

	/**
	 * The values that hold where the settings say nothing.
	 * @return the standard values
	 */
	public static MembershipPolicy standard() {
		return new MembershipPolicy(Duration.ofSeconds(1), 16, 3, 2, Duration.ofSeconds(30), Duration.ofMinutes(10),
				Duration.ofSeconds(2), Duration.ofMillis(500), Duration.ofSeconds(30), 100, List.of());
	}

	/**
	 * The same bounds with other contacts.
	 * @param nodes where other nodes may be met
	 * @return the bounds
	 */
	public MembershipPolicy withContacts(List<NodeContact> nodes) {
		return new MembershipPolicy(this.shortestInterval, this.heartbeatsPerSecond, this.missedHeartbeats,
				this.delegates, this.introductionInterval, this.announcementInterval, this.callTimeout,
				this.firstBackoff, this.longestBackoff, this.announcementsPerSecond, nodes);
	}

}
