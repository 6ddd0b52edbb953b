package sycamorehill.peer;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Puts a message authentication code in front of each frame of one connection, and checks
 * it. The code covers the connection's nonce and the frame's sequence number. It guards
 * against strangers who inject tickets or claims, and against a recorded frame that is
 * sent again, which would show as an old report or claim taken for new: another
 * connection has another nonce, and the same connection another sequence number.
 */
final class FrameAuthenticator {

	/** HMAC-SHA-256 cut to half its length, as RFC 4868 does. */
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
			throw new IllegalStateException("every Java platform has " + ALGORITHM, ex);
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
