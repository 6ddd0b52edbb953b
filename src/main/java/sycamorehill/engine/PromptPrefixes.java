package sycamorehill.engine;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Computes hashes of the prefixes of a prompt. Each prefix ends with a complete block,
 * and engines identify cached prefixes by these hashes.
 */
public final class PromptPrefixes {

	/**
	 * The number of characters in a block.
	 */
	public static final int BLOCK_CHARACTERS = 256;

	private static final int MAXIMUM_BLOCKS = 64;

	private PromptPrefixes() {
	}

	/**
	 * Returns the hashes of the prefixes of a prompt, up to a maximum number of blocks.
	 * @param prompt the prompt
	 * @return one hash for each complete block, over the text from the start of the
	 * prompt to the end of the block, the shortest prefix first
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
