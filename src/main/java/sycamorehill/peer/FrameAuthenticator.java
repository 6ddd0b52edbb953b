package sycamorehill.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes and verifies the message authentication code in front of each frame of one
 * connection. The code covers the connection's nonce and the frame's sequence number. It
 * keeps senders without the shared secret from injecting tickets or claims. It also
 * prevents replay, by which an old report or claim would be accepted as a new one: each
 * connection has its own nonce and each frame its own sequence number.
 */
final class FrameAuthenticator {

	/** Length of a code: HMAC-SHA-256 truncated to half its length, as in RFC 4868. */
	static final int CODE_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private final Mac mac;

	private final byte[] nonce;

	private long sequence;

	private FrameAuthenticator(Mac mac, byte[] nonce) {
		this.mac = mac;
		this.nonce = nonce;
	}

	static FrameAuthenticator create(byte[] secret, byte[] nonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(secret, ALGORITHM));
			return new FrameAuthenticator(mac, nonce.clone());
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the Java platform does not provide " + ALGORITHM, ex);
		}
	}

	byte[] nextCode(byte[] content) {
		return nextCode(content, 0);
	}

	boolean isNextFrameValid(byte[] frame) {
		if (frame.length < CODE_BYTES) {
			return false;
		}
		return MessageDigest.isEqual(nextCode(frame, CODE_BYTES), Arrays.copyOf(frame, CODE_BYTES));
	}

	private byte[] nextCode(byte[] bytes, int offset) {
		this.mac.update(this.nonce);
		this.mac.update(ByteBuffer.allocate(Long.BYTES).putLong(this.sequence++).array());
		this.mac.update(bytes, offset, bytes.length - offset);
		return Arrays.copyOf(this.mac.doFinal(), CODE_BYTES);
	}

}
