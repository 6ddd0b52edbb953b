package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.NodeMessage;

/**
 * Acquires, renews and releases the lease on the control of the groups. The lease saves
 * work, because two controllers would hinder each other. Correctness does not depend on
 * it: a holder may be paused, and resume in the belief that it still holds the lease. The
 * epochs and the command counts of the engines ensure that two controllers do no harm.
 */
final class GroupLeaseManager {

	/** Interval between two renewals. */
	private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(700);

	/**
	 * Interval between two reads of a node that waits for the lease. These reads use a
	 * copy, which costs the store less.
	 */
	private static final Duration READ_INTERVAL = Duration.ofMillis(800);

	/**
	 * Time without a change after which the lease may be taken over: two renewals were
	 * missed.
	 */
	private static final Duration EXPIRY_TIME = Duration.ofMillis(2200);

	/**
	 * Time after sending its last renewal at which a holder stops, which is before other
	 * nodes may take over.
	 */
	private static final Duration HOLD_TIME = Duration.ofMillis(2050);

	/**
	 * Number of failed renewals in a row after which the holder releases the lease if
	 * other nodes reach the store. One answer may be lost.
	 */
	private static final int MAXIMUM_FAILED_RENEWALS = 2;

	/**
	 * Time without a path to the engines after which the holder releases the lease. Most
	 * doubts about a path are settled sooner.
	 */
	private static final Duration MAXIMUM_TIME_WITHOUT_PATH = Duration.ofMillis(500);

	/** Time after which a call without an answer is abandoned. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

	private final String ownIdentity;

	/** Time after which nothing that a holder has done counts any more. */
	private final Duration memory;

	private Optional<Lease> lastLease = Optional.empty();

	private Instant lastChangeAt = Instant.MIN;

	private boolean holding;

	private Instant holdingSince = Instant.MIN;

	private Instant lastRenewalAt = Instant.MIN;

	private Instant nextCallAt = Instant.MIN;

	private Instant callSentAt = Instant.MIN;

	private boolean callPending;

	private boolean released;

	private int failedRenewals;

	private boolean storeUnreachable;

	private GroupLeaseManager(String ownIdentity, Duration memory) {
		this.ownIdentity = ownIdentity;
		this.memory = memory;
	}

	/**
	 * Creates a manager that knows no lease.
	 * @param ownIdentity identifies this process
	 * @param memory time after which nothing that a holder has done counts any more
	 * @return the manager
	 */
	static GroupLeaseManager of(String ownIdentity, Duration memory) {
		return new GroupLeaseManager(ownIdentity, memory);
	}

	/**
	 * Returns whether this node controls the groups. While no node reaches the store,
	 * nobody can take the lease and its holder continues. Otherwise no group would be
	 * repaired during an outage of the store.
	 * @param now the current time
	 * @return true while the lease is certainly held, or nobody else can hold it
	 */
	boolean isHeld(Instant now) {
		return this.holding && (now.isBefore(this.lastRenewalAt.plus(HOLD_TIME)) || this.storeUnreachable);
	}

	Instant holdingSince() {
		return this.holdingSince;
	}

	long term() {
		return this.lastLease.map(Lease::term).orElse(0L);
	}

	/**
	 * Returns how many terms of other processes ended shortly before this one's.
	 * @return the number of terms
	 */
	int recentTerms() {
		return this.lastLease.map(Lease::recentTerms).orElse(0);
	}

	/**
	 * Returns the node that holds the lease.
	 * @return the name of the node; empty if it is not known
	 */
	Optional<String> holder() {
		return this.lastLease.map(Lease::holder).filter((holder) -> !holder.isEmpty()).map(GroupLeaseManager::nodeName);
	}

	private static String nodeName(String holder) {
		int separator = holder.indexOf('#');
		return (separator > 0) ? holder.substring(0, separator) : holder;
	}

	/**
	 * Renews the lease, or checks whether it can be taken over.
	 * @param storeStatus the reachability of the store
	 * @param cutOffFor how long this node has reached no engine of a service that another
	 * node reaches; zero if it reaches all
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(StoreStatus storeStatus, Duration cutOffFor, Instant now, Effects effects) {
		this.storeUnreachable = storeStatus.unreachable();
		if (this.callPending && now.isBefore(this.callSentAt.plus(CALL_TIMEOUT))) {
			return;
		}
		this.callPending = false;
		if (now.isBefore(this.nextCallAt) || this.released) {
			return;
		}
		if (this.holding && !isHeld(now)) {
			lose("no renewal in time", effects);
		}
		if (this.holding && storeStatus.receivesUpdates() && this.failedRenewals >= MAXIMUM_FAILED_RENEWALS) {
			handOver(now, effects);
			return;
		}
		if (this.holding && cutOffFor.compareTo(MAXIMUM_TIME_WITHOUT_PATH) >= 0) {
			releaseWithoutPath(now, effects);
		}
		else if (this.holding) {
			replace(renewed(this.lastLease.orElseThrow().holder(), now), now, effects);
		}
		else if (!cutOffFor.isZero()) {
			return;
		}
		else if (storeStatus.receivesUpdates() && this.lastLease.isPresent() && !isHeldByThisNode()) {
			return;
		}
		else if (this.lastLease.isPresent() && canAcquire(now)) {
			Lease previous = this.lastLease.get();
			replace(new Lease(this.ownIdentity, previous.term() + 1, previous.revision(), previous.recentTerms() + 1),
					now, effects);
		}
		else {
			call(new EntryEffect.ReadLease(), READ_INTERVAL, now, effects);
		}
	}

	// The store rejects the calls of this node and serves other nodes. The broadcast
	// lets them acquire the lease before it expires.
	private void handOver(Instant now, Effects effects) {
		lose("the store answers other nodes", effects);
		this.failedRenewals = 0;
		this.nextCallAt = now.plus(EXPIRY_TIME);
		broadcastRelease(effects);
	}

	// The store answers this node, so that the lease would never expire.
	private void releaseWithoutPath(Instant now, Effects effects) {
		Lease released = renewed("", now);
		lose("no path to the engines", effects);
		replace(released, now, effects);
		broadcastRelease(effects);
	}

	private Lease renewed(String holder, Instant now) {
		Lease held = this.lastLease.orElseThrow();
		boolean forgotten = !now.isBefore(this.holdingSince.plus(this.memory));
		return new Lease(holder, held.term(), held.revision(), forgotten ? 0 : held.recentTerms());
	}

	private void broadcastRelease(Effects effects) {
		effects.add(
				new EntryEffect.Broadcast(new NodeMessage.LeaseReleased(nodeName(this.ownIdentity), this.ownIdentity)));
	}

	/**
	 * Handles the release of the lease by a process.
	 * @param holder the name of the process in the lease
	 * @param receivesStoreUpdates whether another node reads the store for this one, and
	 * therefore reads the lease sooner
	 * @param now the current time
	 */
	void handleReleased(String holder, boolean receivesStoreUpdates, Instant now) {
		if (this.lastLease.filter((lease) -> lease.holder().equals(holder)).isPresent()) {
			this.lastChangeAt = now.minus(EXPIRY_TIME).minus(EXPIRY_TIME);
			this.nextCallAt = receivesStoreUpdates ? this.nextCallAt : now;
		}
	}

	private boolean canAcquire(Instant now) {
		return this.lastLease.get().holder().isEmpty() || isHeldByThisNode()
				|| now.isAfter(this.lastChangeAt.plus(EXPIRY_TIME));
	}

	// A node runs only one process, so the previous process on this node has ended and
	// cannot renew the lease. Waiting for the lease to expire would leave all groups
	// without a controller after a power failure.
	private boolean isHeldByThisNode() {
		return holder().filter(nodeName(this.ownIdentity)::equals).isPresent();
	}

	private void replace(Lease lease, Instant now, Effects effects) {
		call(new EntryEffect.ReplaceLease(lease), RENEWAL_INTERVAL, now, effects);
	}

	private void call(EntryEffect effect, Duration delay, Instant now, Effects effects) {
		this.callPending = true;
		this.callSentAt = now;
		this.nextCallAt = now.plus(delay);
		effects.add(effect);
	}

	void handleAnswer(LeaseAnswer answer, Instant now, Effects effects) {
		this.callPending = false;
		if (answer instanceof LeaseAnswer.Present present) {
			recordLease(present.lease(), now);
			boolean isOwn = present.written() && present.lease().holder().equals(this.ownIdentity);
			if (isOwn && !this.holding) {
				this.holding = true;
				this.holdingSince = now;
				effects.log(LogEvent.GROUP_LEASE, "taken term=" + present.lease().term());
			}
			if (isOwn) {
				this.lastRenewalAt = this.callSentAt;
				this.failedRenewals = 0;
			}
		}
		else if (answer instanceof LeaseAnswer.Conflict conflict) {
			handleConflict(conflict.lease(), now, effects);
		}
		else if (answer instanceof LeaseAnswer.Absent) {
			call(new EntryEffect.CreateLease(this.ownIdentity), RENEWAL_INTERVAL, now, effects);
		}
		else if (answer instanceof LeaseAnswer.Unavailable unavailable && this.holding) {
			effects.log(LogEvent.GROUP_LEASE, "renewal failed cause='" + unavailable.cause() + "'");
			this.failedRenewals++;
			this.nextCallAt = now.plus(RENEWAL_INTERVAL.dividedBy(2));
		}
	}

	// If the answer to a write of this process was lost, its next write fails with a
	// conflict although the process holds the lease.
	private void handleConflict(Lease lease, Instant now, Effects effects) {
		boolean isOwn = lease.holder().equals(this.ownIdentity);
		recordLease(lease, now);
		if (!isOwn && this.holding) {
			lose("taken by " + lease.holder(), effects);
		}
		if (isOwn) {
			this.nextCallAt = now;
		}
	}

	/**
	 * Handles the lease as read by another node. A node that receives store updates does
	 * not read the lease itself; when it has to, it knows the last renewal of the holder.
	 * @param lease the lease
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleUpdate(Lease lease, Instant now, Effects effects) {
		if (this.lastLease.isEmpty() || lease.revision() > this.lastLease.get().revision()) {
			recordLease(lease, now);
			if (this.holding && !lease.holder().equals(this.ownIdentity)) {
				lose("taken by " + lease.holder(), effects);
			}
		}
	}

	Optional<Lease> lastLease() {
		return this.lastLease;
	}

	private void recordLease(Lease lease, Instant now) {
		if (this.lastLease.isEmpty() || lease.revision() > this.lastLease.get().revision()) {
			this.lastLease = Optional.of(lease);
			this.lastChangeAt = now;
		}
	}

	private void lose(String cause, Effects effects) {
		this.holding = false;
		effects.log(LogEvent.GROUP_LEASE, "lost cause='" + cause + "'");
	}

	/**
	 * Releases the lease, so that another node takes it over at once.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void release(Instant now, Effects effects) {
		if (this.holding) {
			Lease released = renewed("", now);
			effects.add(new EntryEffect.ReplaceLease(released));
			broadcastRelease(effects);
			effects.log(LogEvent.GROUP_LEASE, "given back term=" + released.term());
		}
		this.holding = false;
		this.released = true;
	}

	/**
	 * The reachability of the store as known to this node.
	 *
	 * @param receivesUpdates whether another node reads the store for this one
	 * @param unreachable whether no live node known to this one reaches the store
	 */
	record StoreStatus(boolean receivesUpdates, boolean unreachable) {
	}

}
