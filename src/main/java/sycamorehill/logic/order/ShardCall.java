package sycamorehill.logic.order;

import sycamorehill.model.order.OrderShard;

/**
 * Describes a pending platform call for a shard.
 */
sealed interface ShardCall {

	/**
	 * Returns the number of the call.
	 * @return the number
	 */
	long number();

	/**
	 * Reads the pages after a given page.
	 *
	 * @param number the number of the call
	 */
	record ReadPages(long number) implements ShardCall {
	}

	/**
	 * Writes the head page or creates the next page.
	 *
	 * @param number the number of the call
	 * @param page the page after the write
	 * @param batch the operations that the write commits
	 */
	record WritePage(long number, OrderShard page, ShardBatch batch) implements ShardCall {
	}

	/**
	 * Deletes the first page, whose claims have expired.
	 *
	 * @param number the number of the call
	 * @param page the number of the page
	 */
	record DeletePage(long number, long page) implements ShardCall {
	}

}
