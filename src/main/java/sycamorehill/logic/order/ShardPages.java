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
	 * A page of this estimated size is sealed; with the last batch it stays far below a
	 * megabyte.
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

	// A page that was still open when it was read may have grown before the next one was
	// created: it is read again, or a key in it could be granted a second time.
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

	// The platform came back older than this node's view: what is known here stays known,
	// and the next page continues the numbers.
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
	 * Looks after a shard without work: lets go of one that another node keeps, and
	 * deletes the first page once its claims have expired. The age is counted on this
	 * node's own clock from when it first saw the page sealed, so no two wall clocks are
	 * compared and a wrong one can't make a key be forgotten early.
	 * @param step the step
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
