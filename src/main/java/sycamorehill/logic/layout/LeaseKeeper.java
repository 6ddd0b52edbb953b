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
final class LeaseKeeper {

	/** Time between two renewals. */
	private static final Duration RENEWAL = Duration.ofMillis(700);

	/**
	 * Time between two looks of those that wait; they read a copy, which costs the store
	 * less.
	 */
	private static final Duration LOOK = Duration.ofMillis(800);

	/**
	 * A lease that did not change for this long may be taken: two renewals were missed.
	 */
	private static final Duration EXPIRY = Duration.ofMillis(2200);

	/**
	 * The holder stops this long after its last renewal was sent, before others may
	 * begin.
	 */
	private static final Duration HOLD = Duration.ofMillis(2050);

	/**
	 * Renewals that fail in a row before a holder that others see the store without gives
	 * the lease up: one answer may be lost.
	 */
	private static final int FAILURES = 2;

	/** A call without an answer is given up after this time. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1500);

	private final String self;

	private Optional<Lease> seen = Optional.empty();

	private Instant seenSince = Instant.MIN;

	private boolean holding;

	private Instant holdingSince = Instant.MIN;

	private Instant renewed = Instant.MIN;

	private Instant nextCall = Instant.MIN;

	private Instant callSent = Instant.MIN;

	private boolean awaiting;

	private boolean givenBack;

	private int failures;

	private boolean storeAway;

	private LeaseKeeper(String self) {
		this.self = self;
	}

	static LeaseKeeper of(String self) {
		return new LeaseKeeper(self);
	}

	/**
	 * Whether this node controls the groups. While no node reaches the store nobody can
	 * take the lease: its holder goes on, because else no group was repaired for as long
	 * as an outage lasts.
	 * @param now the present time
	 * @return true while the lease is surely held, or can be held by nobody else
	 */
	boolean held(Instant now) {
		return this.holding && (now.isBefore(this.renewed.plus(HOLD)) || this.storeAway);
	}

	Instant holdingSince() {
		return this.holdingSince;
	}

	long term() {
		return this.seen.map(Lease::term).orElse(0L);
	}

	/**
	 * The node that holds the lease, as far as it is known.
	 * @return the node's name
	 */
	Optional<String> holder() {
		return this.seen.map(Lease::holder).filter((holder) -> !holder.isEmpty()).map(LeaseKeeper::node);
	}

	private static String node(String holder) {
		int mark = holder.indexOf('#');
		return (mark > 0) ? holder.substring(0, mark) : holder;
	}

	/**
	 * Renews the lease, or looks whether it may be taken.
	 * @param store what is known of the store beside the lease
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tick(StoreSight store, Instant now, Effects effects) {
		this.storeAway = store.away();
		if (this.awaiting && now.isBefore(this.callSent.plus(CALL_TIMEOUT))) {
			return;
		}
		this.awaiting = false;
		if (now.isBefore(this.nextCall) || this.givenBack) {
			return;
		}
		if (this.holding && !held(now)) {
			lose("no renewal in time", effects);
		}
		if (this.holding && store.fed() && this.failures >= FAILURES) {
			handOver(now, effects);
			return;
		}
		if (this.holding) {
			replace(this.seen.orElseThrow(), now, effects);
		}
		else if (store.fed() && this.seen.isPresent() && !ofThisNode()) {
			return;
		}
		else if (this.seen.isPresent() && mayTake(now)) {
			Lease before = this.seen.get();
			replace(new Lease(this.self, before.term() + 1, before.revision()), now, effects);
		}
		else {
			call(new EntryEffect.ReadLease(), LOOK, now, effects);
		}
	}

	// The store turns this node away and serves others: one of them is told that it need
	// not await the expiry.
	private void handOver(Instant now, Effects effects) {
		lose("the store answers other nodes", effects);
		this.failures = 0;
		this.nextCall = now.plus(EXPIRY);
		effects.add(new EntryEffect.TellAll(new NodeMessage.LeaseGivenUp(node(this.self), this.self)));
	}

	/**
	 * Notes that a process gave the lease up.
	 * @param holder names the process in the lease
	 * @param fed whether another node reads the store for this one, and so looks sooner
	 * @param now the present time
	 */
	void givenUp(String holder, boolean fed, Instant now) {
		if (this.seen.filter((lease) -> lease.holder().equals(holder)).isPresent()) {
			this.seenSince = now.minus(EXPIRY).minus(EXPIRY);
			this.nextCall = fed ? this.nextCall : now;
		}
	}

	private boolean mayTake(Instant now) {
		return this.seen.get().holder().isEmpty() || ofThisNode() || now.isAfter(this.seenSince.plus(EXPIRY));
	}

	// A node runs one process: the one before it on this node has ended, and can't renew.
	// Awaiting its expiry would leave all groups without control after a loss of power.
	private boolean ofThisNode() {
		return holder().filter(node(this.self)::equals).isPresent();
	}

	private void replace(Lease lease, Instant now, Effects effects) {
		call(new EntryEffect.ReplaceLease(lease), RENEWAL, now, effects);
	}

	private void call(EntryEffect effect, Duration pause, Instant now, Effects effects) {
		this.awaiting = true;
		this.callSent = now;
		this.nextCall = now.plus(pause);
		effects.add(effect);
	}

	void answered(LeaseAnswer answer, Instant now, Effects effects) {
		this.awaiting = false;
		if (answer instanceof LeaseAnswer.Present present) {
			note(present.lease(), now);
			boolean own = present.written() && present.lease().holder().equals(this.self);
			if (own && !this.holding) {
				this.holding = true;
				this.holdingSince = now;
				effects.log(LogEvent.GROUP_LEASE, "taken term=" + present.lease().term());
			}
			if (own) {
				this.renewed = this.callSent;
				this.failures = 0;
			}
		}
		else if (answer instanceof LeaseAnswer.Conflict conflict) {
			conflict(conflict.lease(), now, effects);
		}
		else if (answer instanceof LeaseAnswer.Absent) {
			call(new EntryEffect.CreateLease(this.self), RENEWAL, now, effects);
		}
		else if (answer instanceof LeaseAnswer.Unavailable unavailable && this.holding) {
			effects.log(LogEvent.GROUP_LEASE, "renewal failed cause='" + unavailable.cause() + "'");
			this.failures++;
			this.nextCall = now.plus(RENEWAL.dividedBy(2));
		}
	}

	// A write of ours whose answer was lost comes back as a conflict with ourselves.
	private void conflict(Lease lease, Instant now, Effects effects) {
		boolean own = lease.holder().equals(this.self);
		note(lease, now);
		if (!own && this.holding) {
			lose("taken by " + lease.holder(), effects);
		}
		if (own) {
			this.nextCall = now;
		}
	}

	/**
	 * Takes the lease as another node has seen it. A node that another one reads for does
	 * not look itself; it knows the holder's last renewal when it has to.
	 * @param lease the lease
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void heard(Lease lease, Instant now, Effects effects) {
		if (this.seen.isEmpty() || lease.revision() > this.seen.get().revision()) {
			note(lease, now);
			if (this.holding && !lease.holder().equals(this.self)) {
				lose("taken by " + lease.holder(), effects);
			}
		}
	}

	Optional<Lease> seen() {
		return this.seen;
	}

	private void note(Lease lease, Instant now) {
		if (this.seen.isEmpty() || lease.revision() > this.seen.get().revision()) {
			this.seen = Optional.of(lease);
			this.seenSince = now;
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
	void giveBack(Effects effects) {
		if (this.holding) {
			Lease held = this.seen.orElseThrow();
			effects.add(new EntryEffect.ReplaceLease(new Lease("", held.term(), held.revision())));
			effects.add(new EntryEffect.TellAll(new NodeMessage.LeaseGivenUp(node(this.self), this.self)));
			effects.log(LogEvent.GROUP_LEASE, "given back term=" + held.term());
		}
		this.holding = false;
		this.givenBack = true;
	}

	/**
	 * What is known of the store beside the lease.
	 *
	 * @param fed whether another node reads the store for this one
	 * @param away whether no node that is heard reaches the store
	 */
	record StoreSight(boolean fed, boolean away) {
	}

}
