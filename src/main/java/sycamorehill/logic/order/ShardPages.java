package sycamorehill.logic.order;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.order.OrderClaim;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.StoredObject;
import sycamorehill.model.request.OrderKey;

/**
 * Reads, writes and deletes the pages of a shard in the platform.
 */
final class ShardPages {

	/**
	 * Estimated size in bytes from which a page is sealed. Even with the last batch, a
	 * page stays far below one megabyte.
	 */
	static final int SEAL_THRESHOLD_BYTES = 32 * 1024;

	private static final int PAGES_PER_READ = 16;

	private ShardPages() {
	}

	static void read(OrderStep step, Shard shard, long afterPage) {
		ObjectKey after = ShardPlacement.pageKey(shard.number(), afterPage);
		long call = step.callPlatform(shard.number(),
				new PlatformRequest.ListObjects(ObjectKind.ORDER_SHARD, after.name(), PAGES_PER_READ));
		replaceShard(step, shard.withCall(Optional.of(new ShardCall.ReadPages(call))));
	}

	// A page that was read before it was sealed may have changed until the next page
	// was created. It is read again, or a key in it could be granted a second time.
	static void handlePages(OrderStep step, Shard shard, List<StoredObject> objects, Instant sentAt) {
		Shard read = shard;
		int pageCount = 0;
		for (StoredObject object : objects) {
			if (!(object.value() instanceof OrderShard page) || page.shard() != shard.number()) {
				break;
			}
			if (pageCount > 0 && !read.head().orElseThrow().value().sealed()) {
				read(step, read, read.headPageNumber() - 1);
				return;
			}
			read = read.withPage(page, object.version(), page.claims(), step.now());
			pageCount++;
		}
		if (pageCount < PAGES_PER_READ) {
			ShardCommitter.advance(step, sealHeadIfLost(read, pageCount).withConfirmedAt(sentAt));
			return;
		}
		OrderShard last = read.head().orElseThrow().value();
		read(step, read, last.sealed() ? last.page() : last.page() - 1);
	}

	// The platform was restored to a state older than this node's view. The known
	// claims are kept, and the next page continues the page numbers.
	private static Shard sealHeadIfLost(Shard shard, int pageCount) {
		if (pageCount > 0 || shard.head().isEmpty()) {
			return shard;
		}
		OrderShard lastKnown = shard.head().get().value();
		OrderShard sealed = new OrderShard(lastKnown.shard(), lastKnown.page(), true, lastKnown.claims(),
				lastKnown.writer());
		return shard.withPage(sealed, shard.head().get().version(), Map.of(), Instant.MAX);
	}

	static void write(OrderStep step, Shard shard, ShardBatch batch) {
		Optional<Shard.HeadPage> open = shard.head().filter((head) -> !head.value().sealed());
		long number = open.map((head) -> head.value().page()).orElse(shard.headPageNumber() + 1);
		PMap<OrderKey, OrderClaim> before = open.map((head) -> head.value().claims()).orElse(HashTreePMap.empty());
		PMap<OrderKey, OrderClaim> claims = before.plusAll(batch.changes());
		int bytes = claims.values().stream().mapToInt(ShardBatch::estimatedBytes).sum();
		String writer = step.view().self().incarnation() + ":" + (step.state().lastCall() + 1);
		OrderShard page = new OrderShard(shard.number(), number, bytes >= SEAL_THRESHOLD_BYTES, claims, writer);
		ObjectKey key = ShardPlacement.pageKey(shard.number(), number);
		PlatformRequest request = open
			.<PlatformRequest>map((head) -> new PlatformRequest.Update(key, page, head.version()))
			.orElseGet(() -> new PlatformRequest.Create(key, page));
		long call = step.callPlatform(shard.number(), request);
		Instant nextWriteAt = shard.paceAt().isBefore(step.now()) ? step.now() : shard.paceAt();
		replaceShard(step, shard.withCall(Optional.of(new ShardCall.WritePage(call, page, batch)))
			.withPace(nextWriteAt.plus(step.policy().commitInterval())));
	}

	/**
	 * Cleans up a shard without waiting operations. Removes the shard from the state if
	 * another node owns it, and deletes the first page once its claims have expired. The
	 * age of a page is measured on this node's monotonic clock from when the node first
	 * saw the page sealed. Wall clocks are not compared, so a wrong one can't expire a
	 * key early.
	 * @param step the current step
	 * @param shard the shard
	 */
	static void cleanUp(OrderStep step, Shard shard) {
		if (!ShardPlacement.owner(shard.number(), step.view()).equals(step.view().self())) {
			step.replaceState(step.state().withoutShard(shard));
			return;
		}
		Map.Entry<Long, Shard.SealedPage> first = shard.sealed().isEmpty() ? null : shard.sealed().firstEntry();
		if (first == null || first.getKey() == shard.headPageNumber() || !isExpired(step, first.getValue())) {
			Instant nextCheckAt = step.now().plus(step.policy().viewBound());
			step.replaceState(step.state().with(shard.withWakeAt(Optional.of(nextCheckAt))));
			return;
		}
		ObjectKey key = ShardPlacement.pageKey(shard.number(), first.getKey());
		long call = step.callPlatform(shard.number(), new PlatformRequest.Delete(key, first.getValue().version()));
		replaceShard(step, shard.withCall(Optional.of(new ShardCall.DeletePage(call, first.getKey()))));
	}

	private static boolean isExpired(OrderStep step, Shard.SealedPage page) {
		return page.seenAt().isBefore(step.now().minus(step.policy().retention()));
	}

	private static void replaceShard(OrderStep step, Shard shard) {
		step.replaceState(step.state().with(shard.withWakeAt(Optional.empty())));
	}

}
