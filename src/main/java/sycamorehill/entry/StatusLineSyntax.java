package sycamorehill.entry;

import java.nio.charset.StandardCharsets;

import sycamorehill.http.FieldCharacters;

/**
 * Syntax of status lines: a version 1.x, a status from 100 to 599, and a reason. The
 * blank before an empty reason may be missing, as many servers leave it out.
 */
final class StatusLineSyntax implements FirstLineSyntax {

	/** Stands for any digit. */
	private static final byte DIGIT = '#';

	private static final byte[] FIXED_PART = "HTTP/1.# ###".getBytes(StandardCharsets.US_ASCII);

	private static final int FIRST_STATUS_DIGIT = FIXED_PART.length - 3;

	private StatusLineSyntax() {
	}

	static StatusLineSyntax create() {
		return new StatusLineSyntax();
	}

	@Override
	public boolean admits(int position, byte value) {
		if (position > FIXED_PART.length) {
			return FieldCharacters.isText(value);
		}
		if (position == FIXED_PART.length) {
			return value == ' ';
		}
		if (position == FIRST_STATUS_DIGIT) {
			return value >= '1' && value <= '5';
		}
		byte expected = FIXED_PART[position];
		return (expected == DIGIT) ? value >= '0' && value <= '9' : value == expected;
	}

	@Override
	public boolean mayEndAt(int length) {
		return length >= FIXED_PART.length;
	}

}
