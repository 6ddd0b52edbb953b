package sycamorehill.logic.entry;

import java.time.Instant;

import sycamorehill.logic.Effects;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.logic.layout.GroupController;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;

/**
 * Handles targets whose answers have all stalled, at this node or at others. What a node
 * says of a target counts for all nodes, so it says nothing while its own path may be
 * broken.
 */
final class SilentTargets {

	private final String nodeName;

	private final RequestDispatcher requests;

	private final GroupController groups;

	private final PeerNodes peers;

	private final SilenceReports reports = new SilenceReports();

	private SilentTargets(String nodeName, RequestDispatcher requests, GroupController groups, PeerNodes peers) {
		this.nodeName = nodeName;
		this.requests = requests;
		this.groups = groups;
		this.peers = peers;
	}

	static SilentTargets of(String nodeName, RequestDispatcher requests, GroupController groups, PeerNodes peers) {
		return new SilentTargets(nodeName, requests, groups, peers);
	}

	/**
	 * Handles a silence that this node has observed. In an overload, requests wait in the
	 * queue of a healthy target for longer than the first event of a silent one. If the
	 * target were ejected, its queue would move to the other targets and overload them as
	 * well.
	 * @param silent the silent target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleSilence(EntryEvent.TargetSilent silent, Instant now, Effects effects) {
		TargetName target = silent.target();
		if (mayBeQueued(target, silent.answersStarted(), now)) {
			return;
		}
		this.requests.handleSilentTarget(target, this.nodeName, now, effects);
		if (!this.requests.paths().isInDoubt(target, now)) {
			report(target, now, effects);
		}
	}

	private boolean mayBeQueued(TargetName target, boolean answersStarted, Instant now) {
		return !answersStarted && this.requests.mayQueue(target, now) && !this.requests.paths().isUnreachable(target);
	}

	/**
	 * Handles a silence that was reported before and still lasts.
	 * @param silent the silent target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleLastingSilence(EntryEvent.TargetStillSilent silent, Instant now, Effects effects) {
		if (!mayBeQueued(silent.target(), silent.answersStarted(), now)) {
			this.requests.handleLastingSilence(silent.target(), now, effects);
		}
	}

	private void report(TargetName target, Instant now, Effects effects) {
		handleReport(new NodeMessage.Silence(this.nodeName, target), now, effects);
		this.groups.controller()
			.ifPresent((node) -> this.peers.sendTo(node, new NodeMessage.Silence(this.nodeName, target), effects));
	}

	/**
	 * Handles the report of one node.
	 * @param silence the report
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleReport(NodeMessage.Silence silence, Instant now, Effects effects) {
		TargetName target = silence.target();
		if (!this.requests.paths().isInDoubt(target, now)) {
			this.groups.checkMembers(target, now, effects);
		}
		if (!this.groups.controls(now)) {
			return;
		}
		this.reports.recordReport(silence.sender(), target, now).ifPresent((firstReporter) -> {
			effects.add(new EntryEffect.Broadcast(new NodeMessage.SilenceConfirmed(this.nodeName, target)));
			this.requests.handleReportedSilence(target, firstReporter + "," + silence.sender(), now, effects);
		});
	}

	/**
	 * Handles a silence that several nodes have observed.
	 * @param confirmed the controller's message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleConfirmation(NodeMessage.SilenceConfirmed confirmed, Instant now, Effects effects) {
		this.requests.handleReportedSilence(confirmed.target(), confirmed.sender(), now, effects);
	}

}
