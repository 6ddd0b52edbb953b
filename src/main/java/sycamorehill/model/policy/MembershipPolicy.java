package sycamorehill.model.policy;

import java.time.Duration;
import java.util.List;

import sycamorehill.model.membership.NodeContact;

/**
 * Timings and limits of heartbeats.
 *
 * @param shortestInterval time between two heartbeats in a small data centre
 * @param heartbeatsPerSecond maximum number of heartbeats per second that one delegate
 * receives from its data centre; in larger data centres the interval grows to stay within
 * it
 * @param missedHeartbeats number of silent intervals after which a node is considered
 * dead
 * @param delegates number of nodes that represent a data centre
 * @param introductionInterval how often a delegate reads the announcements
 * @param announcementInterval how often a node checks its own announcement
 * @param callTimeout time after which the result of a platform call is unknown
 * @param firstBackoff delay after the first failed platform call
 * @param longestBackoff maximum delay between failed platform calls
 * @param announcementsPerSecond maximum number of announcements per second when all nodes
 * start together
 * @param contacts nodes to contact while the platform can't provide their addresses
 */
public record MembershipPolicy(Duration shortestInterval, int heartbeatsPerSecond, int missedHeartbeats, int delegates,
		Duration introductionInterval, Duration announcementInterval, Duration callTimeout, Duration firstBackoff,
		Duration longestBackoff, int announcementsPerSecond, List<NodeContact> contacts) {

	/**
	 * Copies the contacts.
	 */
	public MembershipPolicy {
		contacts = List.copyOf(contacts);
	}

	/**
	 * Returns the defaults for values that the settings leave out.
	 * @return the default values
	 */
	public static MembershipPolicy standard() {
		return new MembershipPolicy(Duration.ofSeconds(1), 12, 3, 2, Duration.ofSeconds(30), Duration.ofMinutes(10),
				Duration.ofSeconds(2), Duration.ofMillis(500), Duration.ofSeconds(30), 100, List.of());
	}

	/**
	 * Returns this policy with other contacts.
	 * @param nodes nodes to contact
	 * @return the changed policy
	 */
	public MembershipPolicy withContacts(List<NodeContact> nodes) {
		return new MembershipPolicy(this.shortestInterval, this.heartbeatsPerSecond, this.missedHeartbeats,
				this.delegates, this.introductionInterval, this.announcementInterval, this.callTimeout,
				this.firstBackoff, this.longestBackoff, this.announcementsPerSecond, nodes);
	}

}
