package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;

/**
 * Records the contents of requests that ran on targets when these were lost, and reports
 * them to the other nodes. A node whose network path breaks loses all its connections at
 * once. If it reported their contents, all nodes would refuse them, although no target
 * has crashed. A suspicion is therefore confirmed only if the path has proved to work.
 */
final class CrashSuspicions {

	/** Time in which a broken path is noticed. */
	private static final Duration CONFIRMATION_TIME = Duration.ofMillis(200);

	/** Maximum time for which a suspicion waits while the path is in doubt. */
	private static final Duration MAXIMUM_CONFIRMATION_TIME = Duration.ofSeconds(1);

	/** How often a suspicion is sent: messages between nodes may be lost. */
	private static final int BROADCASTS = 3;

	private static final Duration BROADCAST_INTERVAL = Duration.ofSeconds(1);

	private final String nodeName;

	private final CrashHistory history;

	private final TargetReachability reachability;

	private final List<Suspicion> unconfirmed = new ArrayList<>();

	private final List<Broadcast> broadcasts = new ArrayList<>();

	private CrashSuspicions(String nodeName, CrashHistory history, TargetReachability reachability) {
		this.nodeName = nodeName;
		this.history = history;
		this.reachability = reachability;
	}

	static CrashSuspicions of(String nodeName, CrashHistory history, TargetReachability reachability) {
		return new CrashSuspicions(nodeName, history, reachability);
	}

	void suspect(DispatchedRequest request, TargetName target, Instant now, Effects effects) {
		Suspicion suspicion = new Suspicion(request, target, now);
		this.unconfirmed.add(suspicion);
		effects.log(LogEvent.SUSPICION_RAISED,
				"request=" + request.request().identifier() + " " + suspicion.describe(now));
	}

	/**
	 * Clears the content of a request that was answered.
	 * @param content hash of the content
	 * @param effects receives the resulting effects
	 */
	void clear(long content, Effects effects) {
		this.unconfirmed.removeIf((suspicion) -> suspicion.content() == content);
		if (this.history.isSuspect(content)) {
			handleCleared(content, this.nodeName, effects);
			effects.add(new EntryEffect.Broadcast(new NodeMessage.SuspicionCleared(this.nodeName, content)));
		}
	}

	/**
	 * Handles a content whose request was answered at a node.
	 * @param content hash of the content
	 * @param node the node, for the log
	 * @param effects receives the resulting effects
	 */
	void handleCleared(long content, String node, Effects effects) {
		if (this.history.isSuspect(content)) {
			effects.log(LogEvent.SUSPICION_DROPPED,
					"content=" + Long.toHexString(content) + " cause='answered at " + node + "'");
		}
		this.history.clear(content);
		this.broadcasts.removeIf((broadcast) -> broadcast.suspicion().contentHash() == content);
	}

	/**
	 * Confirms the suspicions that the state of the path allows, and drops those that it
	 * explains. Sends those again that were confirmed a while ago.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void tick(Instant now, Effects effects) {
		sendDue(now, effects);
		if (this.unconfirmed.isEmpty()) {
			return;
		}
		List<Suspicion> explained = this.unconfirmed.stream().filter(this::isExplainedByPath).toList();
		explained.forEach((suspicion) -> effects.log(LogEvent.SUSPICION_DROPPED,
				suspicion.describe(now) + " cause='the service was unreachable'"));
		this.unconfirmed.removeAll(explained);
		List<Suspicion> due = this.unconfirmed.stream().filter((suspicion) -> isDue(suspicion, now)).toList();
		this.unconfirmed.removeAll(due);
		due.forEach((suspicion) -> confirm(suspicion, now, effects));
		sendDue(now, effects);
	}

	private boolean isExplainedByPath(Suspicion suspicion) {
		return this.reachability.wasUnreachableAfter(suspicion.request().service(), suspicion.since());
	}

	private void sendDue(Instant now, Effects effects) {
		this.broadcasts.replaceAll((broadcast) -> {
			if (now.isBefore(broadcast.dueAt())) {
				return broadcast;
			}
			effects.add(new EntryEffect.Broadcast(broadcast.suspicion()));
			return new Broadcast(broadcast.suspicion(), broadcast.timesLeft() - 1, now.plus(BROADCAST_INTERVAL));
		});
		this.broadcasts.removeIf((broadcast) -> broadcast.timesLeft() == 0);
	}

	/**
	 * Returns the messages for a node that has just started: it would let each of the
	 * refused contents crash some more targets.
	 * @return the messages
	 */
	List<NodeMessage> createReports() {
		List<NodeMessage> reports = new ArrayList<>();
		this.history.refusedContents()
			.forEach((content, targets) -> targets
				.forEach((target) -> reports.add(new NodeMessage.Suspicion(this.nodeName, content, target))));
		return reports;
	}

	private boolean isDue(Suspicion suspicion, Instant now) {
		Duration waited = Duration.between(suspicion.since(), now);
		return waited.compareTo(MAXIMUM_CONFIRMATION_TIME) >= 0 || (waited.compareTo(CONFIRMATION_TIME) >= 0
				&& !this.reachability.isInDoubt(suspicion.request().service(), now));
	}

	private void confirm(Suspicion suspicion, Instant now, Effects effects) {
		this.history.recordCrash(suspicion.content(), suspicion.target());
		effects.log(LogEvent.SUSPICION_CONFIRMED,
				suspicion.describe(now) + " targets=" + this.history.countTargets(suspicion.content()));
		this.broadcasts.add(new Broadcast(
				new NodeMessage.Suspicion(this.nodeName, suspicion.content(), suspicion.target()), BROADCASTS, now));
	}

	/**
	 * A request that was running on a target whose connection was lost.
	 *
	 * @param request the request
	 * @param target the target
	 * @param since when the connection was lost
	 */
	private record Suspicion(DispatchedRequest request, TargetName target, Instant since) {

		long content() {
			return this.request.request().contentHash();
		}

		String describe(Instant now) {
			return "content=" + Long.toHexString(content()) + " target=" + this.target + " age-millis="
					+ Duration.between(this.since, now).toMillis();
		}

	}

	/**
	 * A suspicion that is sent several times.
	 *
	 * @param suspicion the message
	 * @param timesLeft how often it is still sent
	 * @param dueAt when it is sent next
	 */
	private record Broadcast(NodeMessage.Suspicion suspicion, int timesLeft, Instant dueAt) {
	}

}
