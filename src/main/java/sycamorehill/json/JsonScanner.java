package sycamorehill.json;

/**
 * Finds the extents of values in the bytes of a JSON text, without reading their content.
 * Needs no stack, however deep a value is nested.
 */
final class JsonScanner {

	private final byte[] bytes;

	private final int end;

	private int position;

	JsonScanner(byte[] bytes, int begin, int end) {
		this.bytes = bytes;
		this.position = begin;
		this.end = end;
	}

	/**
	 * Takes a character that may follow.
	 * @param character the character
	 * @return whether it followed
	 */
	boolean take(char character) {
		skipSpace();
		boolean follows = this.position < this.end && this.bytes[this.position] == character;
		this.position += follows ? 1 : 0;
		return follows;
	}

	/**
	 * Takes a character that must follow.
	 * @param character the character
	 */
	void require(char character) {
		if (!take(character)) {
			throw invalid("expected '" + character + "'");
		}
	}

	/** Checks that nothing follows. */
	void requireEnd() {
		skipSpace();
		if (this.position < this.end) {
			throw invalid("expected no more");
		}
	}

	/**
	 * Takes the value that must follow.
	 * @return the extent of the value
	 */
	JsonText takeValue() {
		skipSpace();
		int begin = this.position;
		if (begin == this.end) {
			throw invalid("expected a value");
		}
		switch (this.bytes[begin]) {
			case '"' -> skipString();
			case '{' -> skipNested('{', '}');
			case '[' -> skipNested('[', ']');
			default -> skipWord();
		}
		return new JsonText(this.bytes, begin, this.position);
	}

	private void skipSpace() {
		while (this.position < this.end && isSpace(this.bytes[this.position])) {
			this.position++;
		}
	}

	private static boolean isSpace(byte value) {
		return value == ' ' || value == '\t' || value == '\n' || value == '\r';
	}

	private void skipString() {
		this.position++;
		while (this.position < this.end) {
			byte value = this.bytes[this.position++];
			if (value == '"') {
				return;
			}
			if (value == '\\') {
				this.position++;
			}
		}
		throw invalid("a text doesn't end");
	}

	// The other kind of brackets isn't counted: if they don't match, only this value is
	// unreadable.
	private void skipNested(char open, char close) {
		int levels = 0;
		while (this.position < this.end) {
			byte value = this.bytes[this.position];
			if (value == '"') {
				skipString();
				continue;
			}
			this.position++;
			levels += (value == open) ? 1 : 0;
			levels -= (value == close) ? 1 : 0;
			if (levels == 0) {
				return;
			}
		}
		throw invalid("a value doesn't end");
	}

	private void skipWord() {
		int begin = this.position;
		while (this.position < this.end && !endsWord(this.bytes[this.position])) {
			this.position++;
		}
		if (this.position == begin) {
			throw invalid("expected a value");
		}
	}

	private static boolean endsWord(byte value) {
		return isSpace(value) || value == ',' || value == ':' || value == ']' || value == '}';
	}

	private IllegalArgumentException invalid(String fault) {
		return new IllegalArgumentException("not JSON at byte " + this.position + ": " + fault);
	}

}
