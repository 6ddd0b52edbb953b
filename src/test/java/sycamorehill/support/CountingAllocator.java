package sycamorehill.support;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates buffers that count the bytes which searches look at, so that a test can
 * compare the work for twice the bytes without a clock.
 */
public final class CountingAllocator extends AbstractByteBufAllocator {

	private long searchedBytes;

	private CountingAllocator() {
		super(false);
	}

	public static CountingAllocator create() {
		return new CountingAllocator();
	}

	/**
	 * Returns how many bytes all searches have looked at.
	 * @return the number of bytes
	 */
	public long searchedBytes() {
		return this.searchedBytes;
	}

	@Override
	protected ByteBuf newHeapBuffer(int initialCapacity, int maximumCapacity) {
		return new CountingBuffer(initialCapacity, maximumCapacity);
	}

	@Override
	protected ByteBuf newDirectBuffer(int initialCapacity, int maximumCapacity) {
		return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maximumCapacity);
	}

	@Override
	public boolean isDirectBufferPooled() {
		return false;
	}

	/** A buffer that counts. */
	private final class CountingBuffer extends UnpooledHeapByteBuf {

		CountingBuffer(int initialCapacity, int maximumCapacity) {
			super(CountingAllocator.this, initialCapacity, maximumCapacity);
		}

		@Override
		public int indexOf(int from, int to, byte value) {
			int found = super.indexOf(from, to, value);
			CountingAllocator.this.searchedBytes += ((found >= 0) ? found + 1 : to) - from;
			return found;
		}

	}

}
