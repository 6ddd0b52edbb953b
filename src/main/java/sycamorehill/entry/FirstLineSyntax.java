package sycamorehill.entry;

/**
 * Syntax of the first line of a head.
 */
interface FirstLineSyntax {

	/** Syntax of request lines, which the decoder reads strictly itself. */
	FirstLineSyntax REQUEST_LINE = new FirstLineSyntax() {

		@Override
		public boolean admits(int position, byte value) {
			return true;
		}

		@Override
		public boolean mayEndAt(int length) {
			return true;
		}

	};

	/**
	 * Returns whether the line may have a byte at a position.
	 * @param position number of bytes before it
	 * @param value the byte
	 * @return whether it may
	 */
	boolean admits(int position, byte value);

	/**
	 * Returns whether the line may end.
	 * @param length number of its bytes
	 * @return whether it may
	 */
	boolean mayEndAt(int length);

}
