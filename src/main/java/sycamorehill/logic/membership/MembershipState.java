package sycamorehill.logic.membership;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.logic.platform.CallBudget;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNodes;

/**
 * The state of node membership.
 *
 * @param liveNodes the nodes that are considered live, derived from the observations
 * @param sightings the observations of the other nodes
 * @param progress the progress of the nodes of this node's data centre in applying
 * tickets
 * @param introduction the state of the platform calls by which nodes discover each other
 * @param timers the times of periodic work
 * @param wallClock the wall-clock time at the last tick, for records that people read
 * @param stopping whether this node has been requested to stop
 */
public record MembershipState(LiveNodes liveNodes, PeerObservations sightings, TicketProgress progress,
		DiscoveryState introduction, MembershipTimers timers, Instant wallClock, boolean stopping) {

	/**
	 * Returns the state of a node that has just started.
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
	 * Tells whether this node is a delegate of its data centre.
	 * @return whether this node is a delegate
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
	 * The state of the platform calls by which nodes discover each other.
	 *
	 * @param calls the purpose of each outstanding call by its number
	 * @param nextCall the number of the next call
	 * @param budget the limits on the rate of calls
	 * @param announcedAt the monotonic time at which the announcement of this node was
	 * last confirmed, {@link Instant#MIN} before the first time
	 * @param announceFrom the earliest monotonic time for the first announcement of this
	 * node, {@link Instant#MIN} before the announcements were listed
	 * @param introducedAt the monotonic time at which the announcements were last listed,
	 * {@link Instant#MIN} before the first time
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
	 * The times of periodic work, and what it last sent or computed.
	 *
	 * @param nextHeartbeat when the next heartbeats are due
	 * @param nextPush when the next changes may be pushed
	 * @param toldNumber the ticket number in the last heartbeats
	 * @param lastProbe the node that was probed last
	 * @param drawnFrom the hash of the observations from which the live nodes were last
	 * computed
	 * @param drawnAt when the live nodes were last computed
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

		MembershipTimers withLiveNodesRecomputed(long from, Instant at) {
			return new MembershipTimers(this.nextHeartbeat, this.nextPush, this.toldNumber, this.lastProbe, from, at);
		}

		MembershipTimers withLastProbe(NodeName node) {
			return new MembershipTimers(this.nextHeartbeat, this.nextPush, this.toldNumber, node, this.drawnFrom,
					this.drawnAt);
		}

	}

}
