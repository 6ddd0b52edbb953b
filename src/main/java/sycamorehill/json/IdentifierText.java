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

	private static final int HALF_KEY = 16;

	private static final char ITEM_SEPARATOR = '/';

	private IdentifierText() {
	}

	static GroupName groupName(String text) {
		int slash = split(text, "/");
		return GroupName.of(GroupSetName.of(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
	}

	static NodeIncarnation incarnation(String text) {
		int dash = split(text, "-");
		long number = Long.parseUnsignedLong(text.substring(dash + 1), HEXADECIMAL);
		return NodeIncarnation.of(NodeName.of(text.substring(0, dash)), number);
	}

	static RequestIdentifier request(String text) {
		int mark = split(text, "-r");
		return RequestIdentifier.of(incarnation(text.substring(0, mark)), Long.parseLong(text.substring(mark + 2)));
	}

	static AttemptIdentifier attempt(String text) {
		int mark = split(text, "-a");
		return AttemptIdentifier.of(incarnation(text.substring(0, mark)), Long.parseLong(text.substring(mark + 2)));
	}

	static String write(OrderKey key) {
		return HexFormat.of().toHexDigits(key.high()) + HexFormat.of().toHexDigits(key.low());
	}

	static OrderKey orderKey(String text) {
		if (text.length() != 2 * HALF_KEY) {
			throw new IllegalArgumentException("an order key has " + 2 * HALF_KEY + " hexadecimal digits");
		}
		return new OrderKey(Long.parseUnsignedLong(text.substring(0, HALF_KEY), HEXADECIMAL),
				Long.parseUnsignedLong(text.substring(HALF_KEY), HEXADECIMAL));
	}

	static String write(ItemKey key) {
		return key.kind().name() + ITEM_SEPARATOR + key.name();
	}

	static ItemKey itemKey(String text) {
		int slash = text.indexOf(ITEM_SEPARATOR);
		if (slash < 1) {
			throw new IllegalArgumentException("an item key looks like KIND/NAME");
		}
		return ItemKey.of(ItemKind.valueOf(text.substring(0, slash)), text.substring(slash + 1));
	}

	private static int split(String text, String separator) {
		int index = text.lastIndexOf(separator);
		if (index < 1) {
			throw new IllegalArgumentException("expected '" + separator + "' in '" + text + "'");
		}
		return index;
	}

}
