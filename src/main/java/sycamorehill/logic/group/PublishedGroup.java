package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmSight;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.GroupFacts;

/**
 * A serving group as a steward spread it.
 *
 * @param identity the group and generation
 * @param facts what does not change within the generation, once it is known
 * @param seenAt own monotonic time of the oldest sight of a member
 * @param load the load of its head
 */
public record PublishedGroup(GroupIdentity identity, Optional<GroupFacts> facts, Instant seenAt, Load load) {

	PublishedGroup withFacts(GroupFacts known) {
		return new PublishedGroup(this.identity, Optional.of(known), this.seenAt, this.load);
	}

	/**
	 * The sight of the head, as far as it was spread.
	 * @param head the head
	 * @return the sight
	 */
	VmSight headObservation(VmName head) {
		VmReport report = new VmReport(head, "", EngineState.READY, Optional.of(this.identity), false,
				this.load.running(), this.load.queued(), this.load.tokensPerSecond(), this.load.freeCacheTokens(), 0);
		return new VmSight(report, this.seenAt);
	}

	/**
	 * The load of a group's head.
	 *
	 * @param running requests that it runs
	 * @param queued requests that wait in it
	 * @param tokensPerSecond tokens generated in its last second
	 * @param freeCacheTokens room in its cache
	 */
	public record Load(int running, int queued, int tokensPerSecond, long freeCacheTokens) {

	}

}
