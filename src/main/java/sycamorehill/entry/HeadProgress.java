package sycamorehill.entry;

import java.util.List;

/**
 * Knows whether a decoder has read the first line of a head and not its other lines. Such
 * a decoder has taken bytes for which it has decoded nothing yet.
 */
final class HeadProgress {

	private boolean begun;

	private HeadProgress() {
	}

	static HeadProgress create() {
		return new HeadProgress();
	}

	/** Notes that the decoder has read the first line of a head. */
	void begin() {
		this.begun = true;
	}

	/**
	 * Decodes, and notes the end of a head that was begun.
	 * @param decoded the parts that have been decoded
	 * @param step decodes at most one part more; a head ends with its part
	 * @throws Exception if the step throws it
	 */
	void decode(List<Object> decoded, Step step) throws Exception {
		int before = decoded.size();
		step.decode();
		this.begun &= decoded.size() == before;
	}

	/**
	 * Returns whether a head was begun and is not complete.
	 * @return whether it is so
	 */
	boolean isBegun() {
		return this.begun;
	}

	/** A step of a decoder. */
	@FunctionalInterface
	interface Step {

		/**
		 * Decodes what has arrived.
		 * @throws Exception if that fails
		 */
		void decode() throws Exception;

	}

}
