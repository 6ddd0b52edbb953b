package sycamorehill.entry;

/**
 * Limits the memory of all answers together that are held until they are complete. Each
 * answer may hold some bytes besides, so that large answers don't fail small ones.
 */
final class AnswerMemory {

	/** Bytes that an answer holds without a share of the common memory. */
	static final int FREE_BYTES_PER_ANSWER = 64 * 1024;

	/** A quarter of the direct memory of a node. */
	static final int MAXIMUM_BYTES = 32 * 1024 * 1024;

	private long heldBytes;

	private AnswerMemory() {
	}

	static AnswerMemory create() {
		return new AnswerMemory();
	}

	/**
	 * Changes what an answer holds.
	 * @param before bytes that it has held so far
	 * @param after bytes that it holds from now on
	 * @return false if there is no memory for more; nothing has changed then
	 */
	boolean resize(int before, int after) {
		long held = this.heldBytes - commonBytes(before) + commonBytes(after);
		if (after > before && held > MAXIMUM_BYTES) {
			return false;
		}
		this.heldBytes = held;
		return true;
	}

	private static int commonBytes(int bytes) {
		return Math.max(0, bytes - FREE_BYTES_PER_ANSWER);
	}

	/**
	 * Returns how many bytes of the common memory are held.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.heldBytes;
	}

}
