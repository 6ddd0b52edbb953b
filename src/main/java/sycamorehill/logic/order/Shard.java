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
 * Holds what this node knows of a shard and the operations that wait for its next write.
 *
 * @param number the number of the shard
 * @param claims the known claims, by key
 * @param sealed the sealed pages, by page number
 * @param head the last page, if there is one
 * @param stale whether the pages must be read before the next write
 * @param confirmedAt when the last call that confirmed this view was sent to the
 * platform, on this node's monotonic clock
 * @param waitingClaims the claims that wait for a write
 * @param waitingSettlements the settlements that wait for a write
 * @param call the pending platform call, at most one
 * @param paceAt when the next write is due if writes are evenly spaced
 * @param backoffUntil the time before which no platform call is sent
 * @param failures the number of failed calls since the last successful one
 * @param wakeAt when the shard is processed next
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
	 * Adds a page that was read or written.
	 * @param page the page
	 * @param version the version of the page in the platform
	 * @param changes the claims of the page that may be new to this node
	 * @param now the current time on this node's monotonic clock
	 * @return the shard with the page as its head page
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
	 * Holds a claim and the last page that contains it.
	 *
	 * @param claim the claim
	 * @param page the number of the page
	 */
	record StoredClaim(OrderClaim claim, long page) {
	}

	/**
	 * Holds the last page of a shard.
	 *
	 * @param version the version of the page in the platform
	 * @param value the page
	 */
	record HeadPage(long version, OrderShard value) {
	}

	/**
	 * Describes a sealed page, which never changes again.
	 *
	 * @param version the version of the page in the platform
	 * @param seenAt when this node first saw the page sealed, on its monotonic clock; all
	 * claims of the page are older
	 * @param claims the claims of the page
	 */
	record SealedPage(long version, Instant seenAt, PMap<OrderKey, OrderClaim> claims) {
	}

}
