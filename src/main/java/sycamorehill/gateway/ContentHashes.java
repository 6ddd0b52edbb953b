package sycamorehill.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;

/**
 * Hashes of a request's content that the decisions use in place of the content.
 */
final class ContentHashes {

	private static final int PREFIX_BLOCK_CHARACTERS = 256;

	private static final int MOST_PREFIX_BLOCKS = 32;

	private ContentHashes() {
	}

	static String keyHash(String key) {
		try {
			byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(hash);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has SHA-256", ex);
		}
	}

	static Fingerprint fingerprint(ServiceName service, String method, String body) {
		HashValue128 hash = Hashing.murmur3_128()
			.hashStream()
			.putString(service.value())
			.putString(method)
			.putString(body)
			.get();
		return new Fingerprint(HexFormat.of().formatHex(hash.toByteArray()));
	}

	static OrderKey orderKey(String workspaceKeyHash, ServiceName service, String idempotencyKey) {
		HashValue128 hash = Hashing.murmur3_128()
			.hashStream()
			.putString(workspaceKeyHash)
			.putString(service.value())
			.putString(idempotencyKey)
			.get();
		return new OrderKey(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
	}

	static List<Long> prefixes(String prompt) {
		List<Long> hashes = new ArrayList<>();
		HashStream64 stream = Hashing.komihash5_0().hashStream();
		int blocks = Math.min(MOST_PREFIX_BLOCKS, prompt.length() / PREFIX_BLOCK_CHARACTERS);
		for (int block = 0; block < blocks; block++) {
			int from = block * PREFIX_BLOCK_CHARACTERS;
			stream.putChars(prompt.subSequence(from, from + PREFIX_BLOCK_CHARACTERS));
			hashes.add(stream.getAsLong());
		}
		return List.copyOf(hashes);
	}

}
