package sycamorehill.model.order;

import org.pcollections.PMap;

import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.request.OrderKey;

/**
 * One page of the claims in one shard of the order keys. Only the last page of a shard is
 * changed, by conditional update. A sealed page never changes again, and only a sealed
 * page may be followed by another one. A claim in a later page replaces the claim of the
 * same key in an earlier page.
 *
 * @param shard the number of the shard
 * @param page the number of the page, from 1
 * @param sealed whether the page is full, so that the next one may be created
 * @param claims the claims by key
 * @param writer an identifier of the write. After an answer was lost, it tells whether
 * this write or another one was stored
 */
public record OrderShard(int shard, long page, boolean sealed, PMap<OrderKey, OrderClaim> claims,
		String writer) implements PlatformValue {
}
