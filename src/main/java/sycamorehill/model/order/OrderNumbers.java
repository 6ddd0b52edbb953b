package sycamorehill.model.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.request.OrderKey;

/**
 * Issues order numbers and encodes their issuer in order keys. Only the issuing
 * incarnation keeps the claim of an issued number, in memory, so that the claim does not
 * depend on the platform; any other node asks the issuer. The key holds a bit that
 * distinguishes issued numbers from keys chosen by callers, a hash of the issuer and the
 * second of issue, so that no node mistakes an issued number for a key chosen by a
 * caller.
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
	 * Issues an order number.
	 * @param issuer the incarnation of this node
	 * @param now the monotonic time of this node
	 * @param random a random value drawn for this number only
	 * @return the order number, which the caller sends as its idempotency key
	 */
	public static String issue(NodeIncarnation issuer, Instant now, long random) {
		return "order-%s-%06x-%s".formatted(issuer, now.getEpochSecond() & SECOND_MASK, Long.toHexString(random));
	}

	/**
	 * Encodes in an order key whether the idempotency key is an issued number.
	 * @param hashedKey the hash of workspace, service and idempotency key
	 * @param idempotencyKey the idempotency key as the caller sent it
	 * @return the order key, with issuer and second of issue for an issued number
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
	 * Tells whether a key belongs to an issued number.
	 * @param key the order key
	 * @return whether the number was issued, so that only its issuer may grant the claim
	 */
	public static boolean isIssued(OrderKey key) {
		return key.high() < 0;
	}

	/**
	 * Tells whether a node issued the number of a key.
	 * @param key the order key of an issued number
	 * @param node the incarnation of the node
	 * @return whether the node is the issuer
	 */
	public static boolean isIssuedBy(OrderKey key, NodeIncarnation node) {
		return (key.high() & ~SECOND_MASK) == issuerBits(node.toString());
	}

	/**
	 * Returns the time since a number was issued. Only its issuer can call this, since
	 * the key holds a time on the clock of the issuer.
	 * @param key the order key of an issued number
	 * @param now the monotonic time of the issuer
	 * @return the time since the issue, in whole seconds
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
