package sycamorehill.model.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.request.OrderKey;

/**
 * Order numbers that a node issues. The claim of such a number is kept in the memory of
 * the issuing incarnation alone, so it needs no platform; any other node asks the issuer.
 * The key carries the mark of an issued number, a hash of its issuer and the second of
 * its issue, so that no node ever takes it for a caller's own key.
 */
public final class OrderNumbers {

	private static final Pattern ISSUED_NUMBER = Pattern.compile("order-(.+)-([0-9a-f]{6})-([0-9a-f]{1,16})");

	private static final long ISSUED_BIT = Long.MIN_VALUE;

	private static final int SECOND_BITS = 24;

	private static final long SECOND_MASK = (1L << SECOND_BITS) - 1;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private OrderNumbers() {
	}

	/**
	 * Issues a number.
	 * @param issuer this node
	 * @param now monotonic time of this node
	 * @param random drawn for this number alone
	 * @return the text that the caller sends as its idempotency key
	 */
	public static String issue(NodeIncarnation issuer, Instant now, long random) {
		return "order-%s-%06x-%s".formatted(issuer, now.getEpochSecond() & SECOND_MASK, Long.toHexString(random));
	}

	/**
	 * Marks the key of an idempotency key.
	 * @param hashedKey hash over workspace, service and idempotency key
	 * @param idempotencyKey the idempotency key as the caller sent it
	 * @return the key, marked as issued or as the caller's own
	 */
	public static OrderKey encodeOrigin(OrderKey hashedKey, String idempotencyKey) {
		Matcher matcher = ISSUED_NUMBER.matcher(idempotencyKey);
		if (!matcher.matches()) {
			return new OrderKey(hashedKey.high() & ~ISSUED_BIT, hashedKey.low());
		}
		long second = Long.parseLong(matcher.group(2), 16);
		return new OrderKey(issuerBits(matcher.group(1)) | second, hashedKey.low());
	}

	/**
	 * Whether a key belongs to an issued number.
	 * @param key the key
	 * @return whether only its issuer may grant it
	 */
	public static boolean isIssued(OrderKey key) {
		return key.high() < 0;
	}

	/**
	 * Whether a node issued a key's number.
	 * @param key the key of an issued number
	 * @param node the node
	 * @return whether it is the issuer
	 */
	public static boolean isIssuedBy(OrderKey key, NodeIncarnation node) {
		return (key.high() & ~SECOND_MASK) == issuerBits(node.toString());
	}

	/**
	 * The age of a key's number, for its issuer.
	 * @param key the key of an issued number
	 * @param now monotonic time of the issuer
	 * @return how long ago it was issued, to the second
	 */
	public static Duration age(OrderKey key, Instant now) {
		return Duration.ofSeconds((now.getEpochSecond() - key.high()) & SECOND_MASK);
	}

	private static long issuerBits(String issuer) {
		long hash = FNV_OFFSET;
		for (byte octet : issuer.getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
		}
		return (hash & ~SECOND_MASK) | ISSUED_BIT;
	}

}
