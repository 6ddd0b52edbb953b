package sycamorehill.model.order;

import org.pcollections.PMap;

import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.request.OrderKey;

/**
 * One page of the claims of one shard of the keys. Only a shard's last page is changed,
 * by conditional update; a sealed page never changes again, and only then the next one
 * may be created. A claim in a later page replaces the same key's claim in an earlier
 * one.
 *
 * @param shard the shard
 * @param page number of the page, from 1
 * @param sealed whether the page is full and the next one may follow
 * @param claims by key
 * @param writer mark of the write
 */
public record OrderShard(int shard, long page, boolean sealed, PMap<OrderKey, OrderClaim> claims,
		String writer) implements PlatformValue {
}
