package sycamorehill.model.order;

import org.pcollections.PMap;

import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.request.OrderKey;

/**
 * The claims of one shard of the keys: one object, changed by conditional update.
 *
 * @param shard the shard
 * @param claims by key
 * @param writer mark of the write
 */
public record OrderShard(int shard, PMap<OrderKey, OrderClaim> claims, String writer) implements PlatformValue {

}
