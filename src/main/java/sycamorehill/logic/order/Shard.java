package sycamorehill.logic.order;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.request.OrderKey;

/**
 * What one node knows of one shard, and the operations that wait for its next write.
 *
 * @param number the shard
 * @param claims every claim that is kept, by key
 * @param sealed the pages before the last one
 * @param head the last page, if there is one
 * @param stale whether the pages must be read before the next write
 * @param confirmedAt own monotonic time of the last look at the platform
 * @param waitingClaims claims that wait for a write
 * @param waitingSettlements settlements that wait for a write
 * @param call the platform call under way, at most one
 * @param paceAt when the next write would be due at an even pace
 * @param backoffUntil no call before this time
 * @param failures failed calls since the last good one
 * @param wakeAt when there is something to do next
 */
record Shard(int number, PMap<OrderKey, StoredClaim> claims, TreePMap<Long, SealedPage> sealed, Optional<HeadPage> head,
		boolean stale, Instant confirmedAt, PVector<ShardOperation.Claim> waitingClaims,
		PVector<ShardOperation.Settle> waitingSettlements, Optional<ShardCall> call, Instant paceAt,
		Instant backoffUntil, int failures, Optional<Instant> wakeAt) {

	static Shard unread(int number, Instant now) {
		return new Shard(number, HashTreePMap.empty(), TreePMap.empty(), Optional.empty(), true, now,
				TreePVector.empty(), TreePVector.empty(), Optional.empty(), now, now, 0, Optional.empty());
	}

	boolean isIdle() {
		return this.waitingClaims.isEmpty() && this.waitingSettlements.isEmpty();
	}

	int waitingCount() {
		return this.waitingClaims.size() + this.waitingSettlements.size();
	}

	long headPageNumber() {
		return this.head.map((last) -> last.value().page()).orElse(0L);
	}

	OrderClaim claim(OrderKey key) {
		StoredClaim stored = this.claims.get(key);
		return (stored != null) ? stored.claim() : null;
	}

	Shard withWaiting(PVector<ShardOperation.Claim> claims, PVector<ShardOperation.Settle> settlements) {
		return new Shard(this.number, this.claims, this.sealed, this.head, this.stale, this.confirmedAt, claims,
				settlements, this.call, this.paceAt, this.backoffUntil, this.failures, this.wakeAt);
	}

	Shard withCall(Optional<ShardCall> value) {
		return new Shard(this.number, this.claims, this.sealed, this.head, this.stale, this.confirmedAt,
				this.waitingClaims, this.waitingSettlements, value, this.paceAt, this.backoffUntil, this.failures,
				this.wakeAt);
	}

	Shard asStale() {
		return new Shard(this.number, this.claims, this.sealed, this.head, true, this.confirmedAt, this.waitingClaims,
				this.waitingSettlements, this.call, this.paceAt, this.backoffUntil, this.failures, this.wakeAt);
	}

	Shard withConfirmedAt(Instant at) {
		return new Shard(this.number, this.claims, this.sealed, this.head, false, at, this.waitingClaims,
				this.waitingSettlements, this.call, this.paceAt, this.backoffUntil, 0, this.wakeAt);
	}

	Shard withPace(Instant value) {
		return new Shard(this.number, this.claims, this.sealed, this.head, this.stale, this.confirmedAt,
				this.waitingClaims, this.waitingSettlements, this.call, value, this.backoffUntil, this.failures,
				this.wakeAt);
	}

	Shard withFailure(Instant until) {
		return new Shard(this.number, this.claims, this.sealed, this.head, this.stale, this.confirmedAt,
				this.waitingClaims, this.waitingSettlements, this.call, this.paceAt, until, this.failures + 1,
				this.wakeAt);
	}

	Shard withWakeAt(Optional<Instant> value) {
		return new Shard(this.number, this.claims, this.sealed, this.head, this.stale, this.confirmedAt,
				this.waitingClaims, this.waitingSettlements, this.call, this.paceAt, this.backoffUntil, this.failures,
				value);
	}

	/**
	 * Takes a page in that was read or written.
	 * @param page the page
	 * @param version its version
	 * @param changes its claims that may be new here
	 * @param now own monotonic time
	 * @return the shard with the page as its last
	 */
	Shard withPage(OrderShard page, long version, Map<OrderKey, OrderClaim> changes, Instant now) {
		PMap<OrderKey, StoredClaim> known = this.claims;
		for (Map.Entry<OrderKey, OrderClaim> change : changes.entrySet()) {
			known = known.plus(change.getKey(), new StoredClaim(change.getValue(), page.page()));
		}
		TreePMap<Long, SealedPage> pages = this.sealed;
		if (page.sealed() && !pages.containsKey(page.page())) {
			pages = pages.plus(page.page(), new SealedPage(version, now, page.claims()));
		}
		return new Shard(this.number, known, pages, Optional.of(new HeadPage(version, page)), this.stale,
				this.confirmedAt, this.waitingClaims, this.waitingSettlements, this.call, this.paceAt,
				this.backoffUntil, this.failures, this.wakeAt);
	}

	Shard withoutPage(long page) {
		PMap<OrderKey, StoredClaim> known = this.claims;
		for (OrderKey key : this.sealed.get(page).claims().keySet()) {
			StoredClaim stored = known.get(key);
			if (stored != null && stored.page() == page) {
				known = known.minus(key);
			}
		}
		return new Shard(this.number, known, this.sealed.minus(page), this.head, this.stale, this.confirmedAt,
				this.waitingClaims, this.waitingSettlements, this.call, this.paceAt, this.backoffUntil, this.failures,
				this.wakeAt);
	}

	/**
	 * A claim and the last page that holds it.
	 *
	 * @param claim the claim
	 * @param page the page
	 */
	record StoredClaim(OrderClaim claim, long page) {
	}

	/**
	 * The last page.
	 *
	 * @param version its version in the platform
	 * @param value the page
	 */
	record HeadPage(long version, OrderShard value) {
	}

	/**
	 * A page that never changes again.
	 *
	 * @param version its version in the platform
	 * @param seenAt own monotonic time at which it was first seen sealed: all its claims
	 * are older
	 * @param claims its claims
	 */
	record SealedPage(long version, Instant seenAt, PMap<OrderKey, OrderClaim> claims) {
	}

}
