package sycamorehill.logic.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import sycamorehill.model.identity.TargetName;

/**
 * Contents that were running when targets were lost. A request that crashes each target
 * that runs it comes again, at any node: after a few targets it is given no more.
 * Bystanders that ran beside it are cleared when they are answered.
 */
final class CrashHistory {

	/** Targets lost with a content before it is refused: one or two may be chance. */
	private static final int CRASHED_TARGETS_BEFORE_REFUSAL = 3;

	/** Contents kept; the eldest is forgotten first. */
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

	void clear(long content) {
		this.crashedTargetsByContent.remove(content);
	}

}
