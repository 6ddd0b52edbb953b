package sycamorehill.logic.order;

import sycamorehill.model.order.OrderShard;

/**
 * A platform call for a shard.
 */
sealed interface ShardCall {

	/**
	 * The call's number.
	 * @return the number
	 */
	long number();

	/**
	 * Reads the pages behind one.
	 *
	 * @param number the call's number
	 */
	record ReadPages(long number) implements ShardCall {
	}

	/**
	 * Writes the last page or creates the next one.
	 *
	 * @param number the call's number
	 * @param page the page as it will be
	 * @param batch what it commits
	 */
	record WritePage(long number, OrderShard page, ShardBatch batch) implements ShardCall {
	}

	/**
	 * Deletes the first page, whose claims have expired.
	 *
	 * @param number the call's number
	 * @param page the page
	 */
	record DeletePage(long number, long page) implements ShardCall {
	}

}
