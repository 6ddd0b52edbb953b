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
 * Holds or awaits the right to control the groups. The lease saves work: two controllers
 * would hinder each other. That they do no harm rests on the epochs and on the engines'
 * counts of orders, not on the lease, because a holder may be paused and wake up
 * believing that it still holds it.
 */
final class GroupLeaseManager {

	/** Time between two renewals. */
	private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(700);

	/**
	 * Time between two looks of those that wait; they read a copy, which costs the store
	 * less.
	 */
	private static final Duration READ_INTERVAL = Duration.ofMillis(800);

	/**
	 * A lease that did not change for this long may be taken: two renewals were missed.
	 */
	private static final Duration EXPIRY_TIME = Duration.ofMillis(2200);

	/**
	 * The holder stops this long after its last renewal was sent, before others may
	 * begin.
	 */
	private static final Duration HOLD_TIME = Duration.ofMillis(2050);

	/**
	 * Renewals that fail in a row before a holder that others see the store without gives
	 * the lease up: one answer may be lost.
	 */
	private static final int MAXIMUM_FAILED_RENEWALS = 2;

	/** A call without an answer is given up after this time. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

	private final String ownIdentity;

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

	private GroupLeaseManager(String ownIdentity) {
		this.ownIdentity = ownIdentity;
	}

	static GroupLeaseManager of(String ownIdentity) {
		return new GroupLeaseManager(ownIdentity);
	}

	/**
	 * Whether this node controls the groups. While no node reaches the store nobody can
	 * take the lease: its holder goes on, because else no group was repaired for as long
	 * as an outage lasts.
	 * @param now the present time
	 * @return true while the lease is surely held, or can be held by nobody else
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
	 * The node that holds the lease, as far as it is known.
	 * @return the node's name
	 */
	Optional<String> holder() {
		return this.lastLease.map(Lease::holder).filter((holder) -> !holder.isEmpty()).map(GroupLeaseManager::nodeName);
	}

	private static String nodeName(String holder) {
		int separator = holder.indexOf('#');
		return (separator > 0) ? holder.substring(0, separator) : holder;
	}

	/**
	 * Renews the lease, or looks whether it may be taken.
	 * @param storeStatus what is known of the store beside the lease
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tick(StoreStatus storeStatus, Instant now, Effects effects) {
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
		if (this.holding) {
			replace(this.lastLease.orElseThrow(), now, effects);
		}
		else if (storeStatus.receivesUpdates() && this.lastLease.isPresent() && !isHeldByThisNode()) {
			return;
		}
		else if (this.lastLease.isPresent() && canAcquire(now)) {
			Lease previous = this.lastLease.get();
			replace(new Lease(this.ownIdentity, previous.term() + 1, previous.revision()), now, effects);
		}
		else {
			call(new EntryEffect.ReadLease(), READ_INTERVAL, now, effects);
		}
	}

	// The store turns this node away and serves others: one of them is told that it need
	// not await the expiry.
	private void handOver(Instant now, Effects effects) {
		lose("the store answers other nodes", effects);
		this.failedRenewals = 0;
		this.nextCallAt = now.plus(EXPIRY_TIME);
		effects
			.add(new EntryEffect.TellAll(new NodeMessage.LeaseGivenUp(nodeName(this.ownIdentity), this.ownIdentity)));
	}

	/**
	 * Notes that a process gave the lease up.
	 * @param holder names the process in the lease
	 * @param receivesStoreUpdates whether another node reads the store for this one, and
	 * so looks sooner
	 * @param now the present time
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

	// A node runs one process: the one before it on this node has ended, and can't renew.
	// Awaiting its expiry would leave all groups without control after a loss of power.
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

	// A write of ours whose answer was lost comes back as a conflict with ourselves.
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
	 * Takes the lease as another node has seen it. A node that another one reads for does
	 * not look itself; it knows the holder's last renewal when it has to.
	 * @param lease the lease
	 * @param now the present time
	 * @param effects collects what is wanted
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
	 * Gives the lease back, so that another node takes it at once.
	 * @param effects collects what is wanted
	 */
	void release(Effects effects) {
		if (this.holding) {
			Lease held = this.lastLease.orElseThrow();
			effects.add(new EntryEffect.ReplaceLease(new Lease("", held.term(), held.revision())));
			effects.add(new EntryEffect.TellAll(
					new NodeMessage.LeaseGivenUp(nodeName(this.ownIdentity), this.ownIdentity)));
			effects.log(LogEvent.GROUP_LEASE, "given back term=" + held.term());
		}
		this.holding = false;
		this.released = true;
	}

	/**
	 * What is known of the store beside the lease.
	 *
	 * @param receivesUpdates whether another node reads the store for this one
	 * @param unreachable whether no node that is heard reaches the store
	 */
	record StoreStatus(boolean receivesUpdates, boolean unreachable) {
	}

}
