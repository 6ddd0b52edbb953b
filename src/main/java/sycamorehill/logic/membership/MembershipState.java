package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNodes;

/**
 * State of the part: which nodes of ours are alive.
 *
 * @param liveNodes the nodes taken to be alive
 * @param contacts the last identity known of each other node, alive or not
 * @param calls what each open platform call was made for
 * @param nextCall the number of the next platform call
 * @param budget when the next platform call may be made
 * @param announcedAt when the own announcement was last confirmed
 * @param introducedAt when the announcements were last read
 * @param nextHeartbeat when the next heartbeats go out
 * @param wallClock the last wall clock time, for records that people read
 * @param stopping whether this node has been told to stop
 */
public record MembershipState(LiveNodes liveNodes, PMap<NodeName, NodeIdentity> contacts,
		PMap<Long, MembershipCall> calls, long nextCall, CallBudget budget, Instant announcedAt, Instant introducedAt,
		Instant nextHeartbeat, Instant wallClock, boolean stopping) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static MembershipState initial() {
		CallBudget none = CallBudget.create(0, 0, Duration.ZERO, Duration.ZERO, 0);
		return new MembershipState(LiveNodes.none(), HashTreePMap.empty(), HashTreePMap.empty(), 1, none, Instant.MIN,
				Instant.MIN, Instant.MIN, Instant.EPOCH, false);
	}

	MembershipState withLiveNodes(LiveNodes changed) {
		return new MembershipState(changed, this.contacts, this.calls, this.nextCall, this.budget, this.announcedAt,
				this.introducedAt, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState withContacts(PMap<NodeName, NodeIdentity> changed) {
		return new MembershipState(this.liveNodes, changed, this.calls, this.nextCall, this.budget, this.announcedAt,
				this.introducedAt, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState withCalls(PMap<Long, MembershipCall> changed, long next) {
		return new MembershipState(this.liveNodes, this.contacts, changed, next, this.budget, this.announcedAt,
				this.introducedAt, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState withBudget(CallBudget changed) {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, changed, this.announcedAt,
				this.introducedAt, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState announced(Instant time) {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, this.budget, time,
				this.introducedAt, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState introduced(Instant time) {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, this.budget,
				this.announcedAt, time, this.nextHeartbeat, this.wallClock, this.stopping);
	}

	MembershipState withNextHeartbeat(Instant time) {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, this.budget,
				this.announcedAt, this.introducedAt, time, this.wallClock, this.stopping);
	}

	MembershipState stop() {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, this.budget,
				this.announcedAt, this.introducedAt, this.nextHeartbeat, this.wallClock, true);
	}

	MembershipState withWallClock(Instant time) {
		return new MembershipState(this.liveNodes, this.contacts, this.calls, this.nextCall, this.budget,
				this.announcedAt, this.introducedAt, this.nextHeartbeat, time, this.stopping);
	}

}
