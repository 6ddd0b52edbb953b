package sycamorehill.model.request;

/**
 * A 128-bit hash over workspace, service and idempotency key.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record OrderKey(long high, long low) implements Comparable<OrderKey> {

	@Override
	public int compareTo(OrderKey other) {
		int byHigh = Long.compareUnsigned(this.high, other.high);
		return (byHigh != 0) ? byHigh : Long.compareUnsigned(this.low, other.low);
	}

}
