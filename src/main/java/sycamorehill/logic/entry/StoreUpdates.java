package sycamorehill.logic.entry;

import java.time.Instant;

import sycamorehill.logic.Effects;
import sycamorehill.logic.layout.GroupController;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;

/**
 * Exchanges store updates with the other nodes: applies and relays those that it
 * receives, asks for what it has missed, and sends what this node has read for others.
 */
final class StoreUpdates {

	private final String self;

	private final PeerNodes peers;

	private final StoreRelay relay;

	private final StoreUpdateLog log;

	private final DirectoryUpdates directory;

	private final ConfigurationDistribution configurations;

	private final GroupController groups;

	private final Evacuations evacuations;

	private StoreUpdates(String self, PeerNodes peers, StoreRelay relay, StoreUpdateLog log, DirectoryUpdates directory,
			ConfigurationDistribution configurations, GroupController groups, Evacuations evacuations) {
		this.self = self;
		this.peers = peers;
		this.relay = relay;
		this.log = log;
		this.directory = directory;
		this.configurations = configurations;
		this.groups = groups;
		this.evacuations = evacuations;
	}

	static StoreUpdates of(String self, PeerNodes peers, StoreRelay relay, StoreUpdateLog log,
			DirectoryUpdates directory, ConfigurationDistribution configurations, GroupController groups,
			Evacuations evacuations) {
		return new StoreUpdates(self, peers, relay, log, directory, configurations, groups, evacuations);
	}

	/**
	 * Handles an update from another node.
	 * @param update the update
	 * @param node the state of this node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 * @return whether the update changed any targets
	 */
	boolean handleUpdate(NodeMessage.StoreUpdate update, NodeState node, Instant now, Effects effects) {
		boolean evacuationsChanged = handleEvacuations(update, now, effects);
		StoreRelay.UpdateResult result = this.relay.handleUpdate(update, now);
		if (!result.accepted()) {
			return false;
		}
		this.log.logReaderChange(now, effects);
		this.directory.recordStoreContact(true, now, effects);
		update.lease().ifPresent((lease) -> this.groups.handleLeaseUpdate(lease, now, effects));
		if (result.applyChanges()) {
			this.directory.applyStored(update.changes(), now, effects);
		}
		if (!node.stopping()) {
			result.relayedUpdate()
				.ifPresent((relayed) -> this.peers.sendToLocalPeers(relayed.withEvacuations(this.evacuations.state()),
						effects));
		}
		if (evacuationsChanged && result.relayedUpdate().isEmpty()) {
			sendProgress(node, now, effects);
		}
		advanceReads(update, node, effects);
		requestMissed(update, result, now, effects);
		return result.applyChanges();
	}

	// The state with the highest revision is the newest one, whichever node sends it.
	private boolean handleEvacuations(NodeMessage.StoreUpdate update, Instant now, Effects effects) {
		boolean changed = this.evacuations.handleUpdate(update.evacuations(), update.sender(), now, effects);
		this.evacuations.state()
			.filter((state) -> update.evacuations().isPresent())
			.ifPresent((state) -> effects.add(new EntryEffect.AdvanceEvacuationRevision(state.revision())));
		return changed;
	}

	/**
	 * Reports this node's progress at once to the nodes that it reads for or relays to,
	 * because the evacuations have changed.
	 * @param node the state of this node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void sendProgress(NodeState node, Instant now, Effects effects) {
		if (!node.stopping() && (this.relay.isReader(now) || this.relay.isRelay(now))) {
			send(this.relay.createProgressUpdate(now), now, effects);
		}
	}

	private void advanceReads(NodeMessage.StoreUpdate update, NodeState node, Effects effects) {
		effects.add(new EntryEffect.AdvanceTargetRevision(this.relay.revision()));
		if (update.configurationVersion() == node.configurationVersion()) {
			effects.add(new EntryEffect.AdvanceConfigurationRevision(update.configurationRevision()));
		}
	}

	private void requestMissed(NodeMessage.StoreUpdate update, StoreRelay.UpdateResult result, Instant now,
			Effects effects) {
		if (result.readTargets()) {
			effects.add(new EntryEffect.ReadTargetChanges());
			this.peers.sendTo(update.sender(), new NodeMessage.ChangesRequest(this.self, this.relay.revision()),
					effects);
		}
		if (result.readConfiguration()) {
			this.configurations.recordAnnounced(update.configurationVersion(), now);
			this.configurations.requestMissing(now, effects);
		}
	}

	/**
	 * Repeats changes for a node that has missed them.
	 * @param wanted the node's request
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void repeatChanges(NodeMessage.ChangesRequest wanted, Instant now, Effects effects) {
		this.relay.repeatChanges(wanted.since(), now)
			.ifPresent((update) -> this.peers.sendTo(wanted.sender(), update.withEvacuations(this.evacuations.state()),
					effects));
	}

	/**
	 * Handles changes of targets that this node has read.
	 * @param changed the changes
	 * @param node the state of this node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void handleChangesRead(EntryEvent.TargetsChanged changed, NodeState node, Instant now, Effects effects) {
		this.directory.recordStoreContact(true, now, effects);
		NodeMessage.StoreUpdate update = this.relay
			.recordTargetChanges(new ChangeBatch(changed.since(), changed.revision(), changed.changes()), now);
		boolean distributes = this.relay.isReader(now) || this.relay.isRelay(now);
		if (!changed.changes().isEmpty() && distributes && !node.stopping()) {
			send(update, now, effects);
		}
		this.directory.applyStored(changed.changes(), now, effects);
	}

	/**
	 * Reports this node's progress to the nodes that it reads for, several times a
	 * second. A stopping node does not, because they would notice its exit too late.
	 * @param node the state of this node
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void sendProgressIfDue(NodeState node, Instant now, Effects effects) {
		if (!node.stopping() && this.relay.isUpdateDue(now)) {
			send(this.relay.createProgressUpdate(now), now, effects);
		}
	}

	private void send(NodeMessage.StoreUpdate update, Instant now, Effects effects) {
		NodeMessage.StoreUpdate complete = update.withLease(this.groups.lease())
			.withEvacuations(this.evacuations.state());
		this.relay.recordUpdateSent(now);
		this.peers.sendToLocalPeers(complete, effects);
		if (this.relay.isReader(now)) {
			this.peers.sendToRelays(complete, now, effects);
		}
	}

	/**
	 * State of this node that decides what it sends and reads.
	 *
	 * @param configurationVersion version of the configuration in effect, 0 before the
	 * first one
	 * @param stopping whether the node was asked to stop
	 */
	record NodeState(long configurationVersion, boolean stopping) {
	}

}
