package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import sycamorehill.model.identity.TargetName;

/**
 * Records the contents that were running on targets when these were lost.
 *
 * A request that crashes every target that runs it is retried, possibly at other nodes.
 * It is refused once its content was lost with several targets. The contents of other
 * requests that ran on the same targets are cleared when these requests are answered.
 */
final class CrashHistory {

	/**
	 * Number of targets lost with a content from which on it is refused; one or two
	 * losses may be coincidence.
	 */
	private static final int CRASHED_TARGETS_BEFORE_REFUSAL = 3;

	/** Maximum number of contents of which a node is told that starts. */
	private static final int MAXIMUM_CONTENTS_TOLD = 50;

	/** Maximum number of contents kept; the oldest is evicted first. */
	private static final int MAXIMUM_CONTENTS = 10_000;

	private final Map<Long, Set<TargetName>> crashedTargetsByContent = new LinkedHashMap<>();

	private CrashHistory() {
	}

	static CrashHistory create() {
		return new CrashHistory();
	}

	void recordCrash(long content, TargetName target) {
		this.crashedTargetsByContent.computeIfAbsent(content, (absent) -> new HashSet<>()).add(target);
		if (this.crashedTargetsByContent.size() > MAXIMUM_CONTENTS) {
			this.crashedTargetsByContent.remove(this.crashedTargetsByContent.keySet().iterator().next());
		}
	}

	boolean isSuspect(long content) {
		return this.crashedTargetsByContent.containsKey(content);
	}

	boolean isRefused(long content) {
		Set<TargetName> crashedTargets = this.crashedTargetsByContent.get(content);
		return crashedTargets != null && crashedTargets.size() >= CRASHED_TARGETS_BEFORE_REFUSAL;
	}

	/**
	 * Returns what a node has to know that has just started.
	 * @return the targets that were lost with refused contents, by content
	 */
	Map<Long, Set<TargetName>> refusedContents() {
		Map<Long, Set<TargetName>> refused = new HashMap<>();
		this.crashedTargetsByContent.forEach((content, targets) -> {
			if (isRefused(content) && refused.size() < MAXIMUM_CONTENTS_TOLD) {
				refused.put(content, Set.copyOf(targets));
			}
		});
		return refused;
	}

	void clear(long content) {
		this.crashedTargetsByContent.remove(content);
	}

}
