package sycamorehill.entry;

import io.netty.util.ByteProcessor;

import sycamorehill.http.FieldCharacters;

/**
 * Syntax of a head or of trailers (RFC 9112, sections 2 to 5 and 7.1.2), byte by byte.
 * Lines end with a line feed, with or without a carriage return before it; a value is not
 * continued on the next line.
 */
final class HeadSyntax implements ByteProcessor {

	private final FirstLineSyntax firstLine;

	private Position position = Position.FIRST_LINE;

	/** Number of bytes of the first line. */
	private int length;

	private HeadSyntax(FirstLineSyntax firstLine) {
		this.firstLine = firstLine;
	}

	static HeadSyntax of(FirstLineSyntax firstLine) {
		return new HeadSyntax(firstLine);
	}

	void beginHead() {
		this.position = Position.FIRST_LINE;
		this.length = 0;
	}

	void beginTrailers() {
		this.position = Position.LINE_START;
	}

	boolean isComplete() {
		return this.position == Position.COMPLETE;
	}

	/**
	 * Reads a byte; throws a {@link MalformedMessageException} if it can't stand here.
	 * @param value the byte
	 * @return false if the head is complete
	 */
	@Override
	public boolean process(byte value) {
		this.position = switch (this.position) {
			case FIRST_LINE -> behindFirstLine(value);
			case LINE_START -> behindLineStart(value);
			case NAME -> behindName(value);
			case VALUE -> behindValue(value);
			case LINE_END -> lineFeed(value, Position.LINE_START);
			case HEAD_END -> lineFeed(value, Position.COMPLETE);
			case COMPLETE -> throw new IllegalStateException("the head is complete");
		};
		return !isComplete();
	}

	private Position behindFirstLine(byte value) {
		if ((value == '\r' || value == '\n') && this.firstLine.mayEndAt(this.length)) {
			return (value == '\r') ? Position.LINE_END : Position.LINE_START;
		}
		if (!this.firstLine.admits(this.length, value)) {
			throw new MalformedMessageException("not a first line at byte " + this.length);
		}
		this.length++;
		return Position.FIRST_LINE;
	}

	private Position behindLineStart(byte value) {
		if (value == '\r') {
			return Position.HEAD_END;
		}
		if (value == '\n') {
			return Position.COMPLETE;
		}
		if (!FieldCharacters.isToken(value)) {
			throw new MalformedMessageException("a line begins with no field name");
		}
		return Position.NAME;
	}

	private Position behindName(byte value) {
		if (value == ':') {
			return Position.VALUE;
		}
		if (!FieldCharacters.isToken(value)) {
			throw new MalformedMessageException("a field name with a character that is none of a token");
		}
		return Position.NAME;
	}

	private Position behindValue(byte value) {
		if (value == '\r') {
			return Position.LINE_END;
		}
		if (value == '\n') {
			return Position.LINE_START;
		}
		if (!FieldCharacters.isText(value)) {
			throw new MalformedMessageException("a field value with a control character");
		}
		return Position.VALUE;
	}

	private static Position lineFeed(byte value, Position next) {
		if (value != '\n') {
			throw new MalformedMessageException("a carriage return without a line feed");
		}
		return next;
	}

	/** Where the next byte stands. */
	private enum Position {

		FIRST_LINE, LINE_START, NAME, VALUE, LINE_END, HEAD_END, COMPLETE

	}

}
