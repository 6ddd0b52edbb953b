package sycamorehill.logic.dispatch;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;

/**
 * Records the contents of requests that ran on targets when these were lost, and reports
 * them to the other nodes.
 */
final class CrashSuspicions {

	private final String nodeName;

	private final CrashHistory history;

	private CrashSuspicions(String nodeName, CrashHistory history) {
		this.nodeName = nodeName;
		this.history = history;
	}

	static CrashSuspicions of(String nodeName, CrashHistory history) {
		return new CrashSuspicions(nodeName, history);
	}

	void suspect(DispatchedRequest request, TargetName target, Effects effects) {
		long content = request.request().contentHash();
		this.history.recordCrash(content, target);
		effects.add(new EntryEffect.Broadcast(new NodeMessage.Suspicion(this.nodeName, content, target)));
	}

	/**
	 * Clears the content of a request that was answered.
	 * @param content hash of the content
	 * @param effects receives the resulting effects
	 */
	void clear(long content, Effects effects) {
		if (this.history.isSuspect(content)) {
			this.history.clear(content);
			effects.add(new EntryEffect.Broadcast(new NodeMessage.SuspicionCleared(this.nodeName, content)));
		}
	}

}
