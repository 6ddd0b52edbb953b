package sycamorehill.entry;

import java.util.Arrays;

import sycamorehill.model.serving.NodeMessage;

/**
 * Kinds of messages between entry nodes. Their names are part of the wire format.
 */
enum NodeMessageKind {

	LOADS(NodeMessage.Loads.class),

	LOADS_ADDED(NodeMessage.LoadsAdded.class),

	PLACED(NodeMessage.Placed.class),

	STORE_NEWS(NodeMessage.StoreNews.class),

	CHANGES_WANTED(NodeMessage.ChangesWanted.class),

	CONFIGURATION_TOLD(NodeMessage.ConfigurationTold.class),

	CONFIGURATION_WANTED(NodeMessage.ConfigurationWanted.class),

	TARGETS_SEEN(NodeMessage.TargetsSeen.class),

	INTRODUCTION(NodeMessage.Introduction.class),

	LEASE_GIVEN_UP(NodeMessage.LeaseGivenUp.class),

	SILENCE(NodeMessage.Silence.class),

	SILENCE_CONFIRMED(NodeMessage.SilenceConfirmed.class),

	GROUP_ENDED(NodeMessage.GroupEnded.class),

	TARGET_LIMITED(NodeMessage.TargetLimited.class),

	TARGET_LEAVING(NodeMessage.TargetLeaving.class),

	SUSPICION(NodeMessage.Suspicion.class),

	CLEARED(NodeMessage.Cleared.class);

	private final Class<? extends NodeMessage> type;

	NodeMessageKind(Class<? extends NodeMessage> type) {
		this.type = type;
	}

	static NodeMessageKind of(NodeMessage message) {
		return Arrays.stream(values()).filter((kind) -> kind.type.isInstance(message)).findFirst().orElseThrow();
	}

}
