package sycamorehill.engine;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Hashes of a prompt up to each whole block, by which engines name what they cache.
 */
public final class PromptPrefixes {

	/**
	 * Characters in one block.
	 */
	public static final int BLOCK_CHARACTERS = 256;

	private static final int MAXIMUM_BLOCKS = 64;

	private PromptPrefixes() {
	}

	/**
	 * The hashes of a prompt.
	 * @param prompt the prompt
	 * @return one hash for each whole block, each over all text up to the block's end,
	 * shortest first
	 */
	public static List<Long> hashes(String prompt) {
		int blocks = Math.min(MAXIMUM_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
		List<Long> hashes = new ArrayList<>(blocks);
		HashStream64 stream = Hashing.xxh3_64().hashStream();
		for (int block = 0; block < blocks; block++) {
			stream.putChars(prompt.substring(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS));
			hashes.add(stream.getAsLong());
		}
		return List.copyOf(hashes);
	}

}
