package sycamorehill.model.request;

/**
 * Hash over workspace, service and idempotency key.
 *
 * @param high upper half
 * @param low lower half
 */
public record OrderKey(long high, long low) implements Comparable<OrderKey> {

	@Override
	public int compareTo(OrderKey other) {
		int byHigh = Long.compareUnsigned(this.high, other.high);
		return (byHigh != 0) ? byHigh : Long.compareUnsigned(this.low, other.low);
	}

}
