package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.dispatch.RequestDispatcher;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * Applies what the store and other nodes report about targets to the directory, and drops
 * what belongs to targets that have ended.
 */
final class DirectoryUpdates {

	private final String self;

	private final TargetDirectory directory;

	private final RequestDispatcher requests;

	private final StoreUpdateLog storeUpdateLog;

	private boolean storeReachable = true;

	private DirectoryUpdates(String self, TargetDirectory directory, RequestDispatcher requests,
			StoreUpdateLog storeUpdateLog) {
		this.self = self;
		this.directory = directory;
		this.requests = requests;
		this.storeUpdateLog = storeUpdateLog;
	}

	static DirectoryUpdates of(String self, TargetDirectory directory, RequestDispatcher requests,
			StoreUpdateLog storeUpdateLog) {
		return new DirectoryUpdates(self, directory, requests, storeUpdateLog);
	}

	/**
	 * Records whether the store answered, this node or the one that reads for it.
	 * @param answered whether it did
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void recordStoreContact(boolean answered, Instant now, Effects effects) {
		if (answered != this.storeReachable) {
			effects.log(LogEvent.STORE_CONTACT, answered ? "back" : "lost");
			this.storeReachable = answered;
		}
		this.directory.recordStoreContact(answered, now);
	}

	boolean isStoreReachable() {
		return this.storeReachable;
	}

	/**
	 * Applies a list of all targets in the store.
	 * @param entries the targets
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void replaceAll(List<TargetEntry> entries, Instant now, Effects effects) {
		this.storeUpdateLog.logLeavingTargets(
				entries.stream().map((entry) -> new TargetChange(entry.name(), Optional.of(entry))).toList(), now,
				effects);
		removeEnded(this.directory.replaceAll(entries, now), now, effects);
		this.requests.handleTargetList(entries, now);
	}

	/**
	 * Applies changes in the store.
	 * @param changes the changes
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void applyStored(List<TargetChange> changes, Instant now, Effects effects) {
		this.storeUpdateLog.logLeavingTargets(changes, now, effects);
		removeEnded(this.directory.apply(changes, now), now, effects);
		changes.forEach((change) -> change.entry().ifPresent((entry) -> this.requests.handleTargetEntry(entry, now)));
	}

	/**
	 * Applies what the controller of the groups has observed itself. While the store is
	 * reachable, its entries are newer.
	 * @param changes the changes
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void applyObserved(List<TargetChange> changes, Instant now, Effects effects) {
		if (!this.storeReachable) {
			removeEnded(this.directory.apply(changes, now), now, effects);
		}
	}

	/**
	 * Applies that a target has announced with an answer of this node that it leaves. The
	 * store may not have its notice yet, so the other nodes are told.
	 * @param target the target
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void applyLeaving(TargetName target, Instant now, Effects effects) {
		this.directory.recordLeaving(target, now).ifPresent((entry) -> {
			effects.log(LogEvent.TARGET_LEAVING, "target=" + target + " told-by=" + this.self);
			effects
				.add(new EntryEffect.Broadcast(new NodeMessage.TargetLeaving(this.self, target, entry.startMillis())));
		});
	}

	/**
	 * Applies that a target has announced to another node that it leaves.
	 * @param message the other node's message
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void applyLeaving(NodeMessage.TargetLeaving message, Instant now, Effects effects) {
		this.directory.find(message.target())
			.filter((entry) -> entry.startMillis() == message.startMillis())
			.flatMap((entry) -> this.directory.recordLeaving(entry.name(), now))
			.ifPresent((entry) -> effects.log(LogEvent.TARGET_LEAVING,
					"target=" + entry.name() + " told-by=" + message.sender()));
	}

	/**
	 * Removes the targets that have been missing in the store for too long.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void dropMissing(Instant now, Effects effects) {
		removeEnded(this.directory.dropMissing(now), now, effects);
	}

	private void removeEnded(List<TargetEntry> ended, Instant now, Effects effects) {
		for (TargetEntry entry : ended) {
			effects.add(new EntryEffect.CloseTargetConnections(new TargetAddress(entry.name(), entry.address())));
			effects.log(LogEvent.TARGET_CHANGED, "target=" + entry.name() + " ended address=" + entry.address());
			this.requests.handleTargetEnded(entry, now, effects);
		}
	}

}
