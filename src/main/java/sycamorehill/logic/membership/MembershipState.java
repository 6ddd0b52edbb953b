package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNodes;

/**
 * State of the part: which nodes of ours are alive.
 *
 * @param liveNodes the nodes taken to be alive, drawn from the sightings
 * @param sightings what was heard of the others
 * @param progress how far the nodes of the own data centre are with the tickets
 * @param introduction calls to the platform that introduce the nodes to each other
 * @param timers when what is due
 * @param wallClock the last wall clock time, for records that people read
 * @param stopping whether this node has been told to stop
 */
public record MembershipState(LiveNodes liveNodes, PeerObservations sightings, TicketProgress progress,
		DiscoveryState introduction, MembershipTimers timers, Instant wallClock, boolean stopping) {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static MembershipState initial() {
		CallBudget none = CallBudget.create(0, 0, Duration.ZERO, Duration.ZERO, 0);
		return new MembershipState(LiveNodes.empty(), PeerObservations.empty(), TicketProgress.empty(),
				new DiscoveryState(HashTreePMap.empty(), 1, none, Instant.MIN, Instant.MIN, Instant.MIN),
				new MembershipTimers(Instant.MIN, Instant.MIN, -1, NodeName.of("-"), 0, Instant.MIN), Instant.EPOCH,
				false);
	}

	/**
	 * Whether this node is a delegate of its data centre.
	 * @return whether it speaks for it
	 */
	public boolean hasDelegateRole() {
		return !this.sightings.delegateSince().equals(Instant.MIN);
	}

	MembershipState withLiveNodes(LiveNodes changed) {
		return new MembershipState(changed, this.sightings, this.progress, this.introduction, this.timers,
				this.wallClock, this.stopping);
	}

	MembershipState withObservations(PeerObservations changed) {
		return new MembershipState(this.liveNodes, changed, this.progress, this.introduction, this.timers,
				this.wallClock, this.stopping);
	}

	MembershipState withProgress(TicketProgress changed) {
		return new MembershipState(this.liveNodes, this.sightings, changed, this.introduction, this.timers,
				this.wallClock, this.stopping);
	}

	MembershipState withIntroduction(DiscoveryState changed) {
		return new MembershipState(this.liveNodes, this.sightings, this.progress, changed, this.timers, this.wallClock,
				this.stopping);
	}

	MembershipState withTimers(MembershipTimers changed) {
		return new MembershipState(this.liveNodes, this.sightings, this.progress, this.introduction, changed,
				this.wallClock, this.stopping);
	}

	MembershipState withWallClock(Instant time) {
		return new MembershipState(this.liveNodes, this.sightings, this.progress, this.introduction, this.timers, time,
				this.stopping);
	}

	MembershipState withStopping() {
		return new MembershipState(this.liveNodes, this.sightings, this.progress, this.introduction, this.timers,
				this.wallClock, true);
	}

	/**
	 * Calls to the platform that introduce the nodes to each other.
	 *
	 * @param calls what each open call was made for
	 * @param nextCall the number of the next call
	 * @param budget when the next call may be made
	 * @param announcedAt when the own announcement was last confirmed
	 * @param announceFrom the earliest time of the own announcement
	 * @param introducedAt when the announcements were last read
	 */
	record DiscoveryState(PMap<Long, MembershipCall> calls, long nextCall, CallBudget budget, Instant announcedAt,
			Instant announceFrom, Instant introducedAt) {

		DiscoveryState withCalls(PMap<Long, MembershipCall> changed, long next) {
			return new DiscoveryState(changed, next, this.budget, this.announcedAt, this.announceFrom,
					this.introducedAt);
		}

		DiscoveryState withBudget(CallBudget changed) {
			return new DiscoveryState(this.calls, this.nextCall, changed, this.announcedAt, this.announceFrom,
					this.introducedAt);
		}

		DiscoveryState withAnnouncementConfirmed(Instant time) {
			return new DiscoveryState(this.calls, this.nextCall, this.budget, time, this.announceFrom,
					this.introducedAt);
		}

		DiscoveryState withAnnouncementsListed(Instant time, Instant announcementFrom) {
			return new DiscoveryState(this.calls, this.nextCall, this.budget, this.announcedAt, announcementFrom, time);
		}

	}

	/**
	 * When what is due.
	 *
	 * @param nextHeartbeat when the next heartbeats go out
	 * @param nextPush when the next changes may be pushed
	 * @param toldNumber the ticket number in the last heartbeats
	 * @param lastProbe the node that was probed last
	 * @param drawnFrom hash of the sightings from which the live nodes were drawn
	 * @param drawnAt when they were drawn
	 */
	record MembershipTimers(Instant nextHeartbeat, Instant nextPush, long toldNumber, NodeName lastProbe,
			long drawnFrom, Instant drawnAt) {

		MembershipTimers withHeartbeatsSent(Instant next, long number) {
			return new MembershipTimers(next, this.nextPush, number, this.lastProbe, this.drawnFrom, this.drawnAt);
		}

		MembershipTimers withNextPush(Instant next) {
			return new MembershipTimers(this.nextHeartbeat, next, this.toldNumber, this.lastProbe, this.drawnFrom,
					this.drawnAt);
		}

		MembershipTimers withLiveNodesRefreshed(long from, Instant at) {
			return new MembershipTimers(this.nextHeartbeat, this.nextPush, this.toldNumber, this.lastProbe, from, at);
		}

		MembershipTimers withLastProbe(NodeName node) {
			return new MembershipTimers(this.nextHeartbeat, this.nextPush, this.toldNumber, node, this.drawnFrom,
					this.drawnAt);
		}

	}

}
