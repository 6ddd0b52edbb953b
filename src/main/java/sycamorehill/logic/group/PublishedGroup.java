package sycamorehill.logic.group;

import java.time.Instant;
import java.util.Optional;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.peer.GroupFacts;

/**
 * Describes a serving group as published by a steward.
 *
 * @param identity the group and generation
 * @param facts the data that stays the same within a generation, empty until it is
 * received
 * @param seenAt the node's monotonic time of the oldest observation of a member
 * @param load the load of its head
 */
public record PublishedGroup(GroupIdentity identity, Optional<GroupFacts> facts, Instant seenAt, Load load) {

	PublishedGroup withFacts(GroupFacts known) {
		return new PublishedGroup(this.identity, Optional.of(known), this.seenAt, this.load);
	}

	/**
	 * Returns the observation of the head, limited to the published values.
	 * @param head the head
	 * @return the observation
	 */
	VmObservation headObservation(VmName head) {
		VmReport report = new VmReport(head, "", EngineState.READY, Optional.of(this.identity), false,
				this.load.running(), this.load.queued(), this.load.tokensPerSecond(), this.load.freeCacheTokens(), 0);
		return new VmObservation(report, this.seenAt);
	}

	/**
	 * Describes the load of a group's head.
	 *
	 * @param running the number of running requests
	 * @param queued the number of queued requests
	 * @param tokensPerSecond the number of tokens generated in the last second
	 * @param freeCacheTokens the free capacity of the cache in tokens
	 */
	public record Load(int running, int queued, int tokensPerSecond, long freeCacheTokens) {

	}

}
