package sycamorehill.logic.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

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

	/**
	 * Maximum number of contents of which a node is told that starts, the newest ones.
	 */
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
		return countTargets(content) >= CRASHED_TARGETS_BEFORE_REFUSAL;
	}

	int countTargets(long content) {
		return this.crashedTargetsByContent.getOrDefault(content, Set.of()).size();
	}

	/**
	 * Returns what a node has to know that has just started.
	 * @return the targets that were lost with refused contents, by content
	 */
	Map<Long, Set<TargetName>> refusedContents() {
		List<Long> refused = this.crashedTargetsByContent.keySet().stream().filter(this::isRefused).toList();
		return refused.stream()
			.skip(Math.max(0, refused.size() - MAXIMUM_CONTENTS_TOLD))
			.collect(Collectors.toMap(Function.identity(),
					(content) -> Set.copyOf(this.crashedTargetsByContent.get(content))));
	}

	void clear(long content) {
		this.crashedTargetsByContent.remove(content);
	}

}
