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
final class CrashBook {

	/** Targets lost with a content before it is refused: one or two may be chance. */
	private static final int MOST_TARGETS = 3;

	/** Contents kept; the eldest is forgotten first. */
	private static final int MOST_CONTENTS = 10_000;

	private final Map<Long, Set<TargetName>> lostWith = new LinkedHashMap<>();

	private CrashBook() {
	}

	static CrashBook create() {
		return new CrashBook();
	}

	void lost(long content, TargetName target) {
		this.lostWith.computeIfAbsent(content, (key) -> new HashSet<>()).add(target);
		if (this.lostWith.size() > MOST_CONTENTS) {
			this.lostWith.remove(this.lostWith.keySet().iterator().next());
		}
	}

	boolean suspected(long content) {
		return this.lostWith.containsKey(content);
	}

	boolean refused(long content) {
		Set<TargetName> lost = this.lostWith.get(content);
		return lost != null && lost.size() >= MOST_TARGETS;
	}

	void cleared(long content) {
		this.lostWith.remove(content);
	}

}
