package sycamorehill.model.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes workspace keys. Only the hash is stored, so that no log, dump or object of the
 * platform contains a usable key.
 */
public final class WorkspaceKeys {

	private WorkspaceKeys() {
	}

	/**
	 * Hashes a workspace key.
	 * @param key the workspace key
	 * @return the SHA-256 hash in lower-case hexadecimal digits
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
