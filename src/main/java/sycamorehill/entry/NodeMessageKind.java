package sycamorehill.entry;

import java.util.Arrays;

import sycamorehill.model.serving.NodeMessage;

/**
 * Kinds of messages between entry nodes. Their names are part of the wire format.
 */
enum NodeMessageKind {

	LOADS(NodeMessage.Loads.class),

	LOADS_ADDED(NodeMessage.SummedLoads.class),

	PLACED(NodeMessage.RequestPlaced.class),

	STORE_NEWS(NodeMessage.StoreUpdate.class),

	CHANGES_REQUEST(NodeMessage.ChangesRequest.class),

	CONFIGURATION_TOLD(NodeMessage.ConfigurationText.class),

	CONFIGURATION_REQUEST(NodeMessage.ConfigurationRequest.class),

	TARGETS_SEEN(NodeMessage.TargetsObserved.class),

	INTRODUCTION(NodeMessage.Introduction.class),

	INTRODUCTION_CONFIRMED(NodeMessage.IntroductionConfirmed.class),

	LEASE_GIVEN_UP(NodeMessage.LeaseReleased.class),

	SILENCE(NodeMessage.Silence.class),

	SILENCE_CONFIRMED(NodeMessage.SilenceConfirmed.class),

	SERVICES_UNREACHABLE(NodeMessage.ServicesUnreachable.class),

	GROUP_ENDED(NodeMessage.GroupEnded.class),

	TARGET_LIMITED(NodeMessage.TargetLimited.class),

	TARGET_LEAVING(NodeMessage.TargetLeaving.class),

	TARGET_LOST(NodeMessage.TargetLost.class),

	TRAITS_SOUND(NodeMessage.TraitsSound.class),

	TRAITS_TRIED(NodeMessage.TraitsTried.class);

	private final Class<? extends NodeMessage> type;

	NodeMessageKind(Class<? extends NodeMessage> type) {
		this.type = type;
	}

	static NodeMessageKind of(NodeMessage message) {
		return Arrays.stream(values()).filter((kind) -> kind.type.isInstance(message)).findFirst().orElseThrow();
	}

}
