package sycamorehill.model.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes workspace keys. Only the hash is kept, so that a log, a dump or the platform
 * never shows a key that could be used.
 */
public final class WorkspaceKeys {

	private WorkspaceKeys() {
	}

	/**
	 * Hashes a key.
	 * @param key the workspace's key
	 * @return the hash by SHA-256 in lower-case hex
	 */
	public static String hash(String key) {
		try {
			byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(hash);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has SHA-256", ex);
		}
	}

}
