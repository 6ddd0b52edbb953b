package sycamorehill.json;

import java.util.HexFormat;

import sycamorehill.model.identity.AttemptIdentifier;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;

/**
 * The text forms of identifiers that have more than one part.
 */
final class IdentifierText {

	private static final int HEXADECIMAL = 16;

	private static final int DIGITS_PER_HALF = 16;

	private static final char ITEM_SEPARATOR = '/';

	private IdentifierText() {
	}

	static GroupName parseGroupName(String text) {
		int separator = separatorIndex(text, "/");
		return GroupName.of(GroupSetName.of(text.substring(0, separator)),
				Integer.parseInt(text.substring(separator + 1)));
	}

	static NodeIncarnation parseIncarnation(String text) {
		int separator = separatorIndex(text, "-");
		long number = Long.parseUnsignedLong(text.substring(separator + 1), HEXADECIMAL);
		return NodeIncarnation.of(NodeName.of(text.substring(0, separator)), number);
	}

	static RequestIdentifier parseRequest(String text) {
		int separator = separatorIndex(text, "-r");
		return RequestIdentifier.of(parseIncarnation(text.substring(0, separator)),
				Long.parseLong(text.substring(separator + 2)));
	}

	static AttemptIdentifier parseAttempt(String text) {
		int separator = separatorIndex(text, "-a");
		return AttemptIdentifier.of(parseIncarnation(text.substring(0, separator)),
				Long.parseLong(text.substring(separator + 2)));
	}

	static String format(OrderKey key) {
		return HexFormat.of().toHexDigits(key.high()) + HexFormat.of().toHexDigits(key.low());
	}

	static OrderKey parseOrderKey(String text) {
		if (text.length() != 2 * DIGITS_PER_HALF) {
			throw new IllegalArgumentException("an order key has " + 2 * DIGITS_PER_HALF + " hexadecimal digits");
		}
		return new OrderKey(Long.parseUnsignedLong(text.substring(0, DIGITS_PER_HALF), HEXADECIMAL),
				Long.parseUnsignedLong(text.substring(DIGITS_PER_HALF), HEXADECIMAL));
	}

	static String format(ItemKey key) {
		return key.kind().name() + ITEM_SEPARATOR + key.name();
	}

	static ItemKey parseItemKey(String text) {
		int separator = text.indexOf(ITEM_SEPARATOR);
		if (separator < 1) {
			throw new IllegalArgumentException("an item key looks like KIND/NAME");
		}
		return ItemKey.of(ItemKind.valueOf(text.substring(0, separator)), text.substring(separator + 1));
	}

	private static int separatorIndex(String text, String separator) {
		int index = text.lastIndexOf(separator);
		if (index < 1) {
			throw new IllegalArgumentException("expected '" + separator + "' in '" + text + "'");
		}
		return index;
	}

}
