package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.EvacuatedDataCentres;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.LostRequest;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.RequestTrait;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TargetIncarnation;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.WorkspaceUse;
import sycamorehill.support.CrashMessages;
import sycamorehill.support.ServingSamples;

/**
 * Provides a message of each kind.
 */
final class NodeMessageSamples {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final TargetName TARGET = TargetName.of("e1");

	private static final UseReport USE = new UseReport(List.of(
			new ModelUse(new ServedModel(ServingSamples.ENGINES, Optional.of("small")),
					Map.of(WorkspaceName.of("a"), new WorkspaceUse(875, 437.5)), new WorkspaceUse(40, 20), 3),
			new ModelUse(new ServedModel(ServingSamples.DESK, Optional.empty()),
					Map.of(WorkspaceName.of("b"), new WorkspaceUse(2.5, 2.5)))));

	private NodeMessageSamples() {
	}

	static List<NodeMessage> oneOfEachKind() {
		TargetEntry member = ServingSamples.member("e1", "small.1", 1, 0, MemberState.OPEN);
		List<TargetChange> changes = List.of(new TargetChange(TARGET, Optional.of(member)),
				new TargetChange(TargetName.of("gone"), Optional.empty()));
		return List.of(new NodeMessage.Loads("n1", NORTH, true, Map.of(TARGET, 3)),
				new NodeMessage.Loads("n1", NORTH, true, Map.of(TARGET, 3), USE),
				new NodeMessage.SummedLoads("n1", List.of(new LoadSum("n2", NORTH, 7, Map.of(TARGET, 3)))),
				new NodeMessage.SummedLoads("n1", List.of(new LoadSum("n2", NORTH, 7, Map.of(TARGET, 3), USE))),
				new NodeMessage.RequestPlaced("n1", TARGET, Duration.ofMillis(14)),
				new NodeMessage.StoreUpdate("n1", NORTH, 5, 1, 90, 100, 110, changes,
						Optional.of(new Lease("n2#a", 3, 99, 2)), Duration.ofMillis(210)),
				new NodeMessage.StoreUpdate("n1", NORTH, 5, 1, 90, 100, 110, List.of(), Optional.empty(), Duration.ZERO)
					.withEvacuations(Optional
						.of(new EvacuatedDataCentres(Set.of(NORTH), Map.of(DataCentreName.of("south"), 90L), 107))),
				new NodeMessage.ConfigurationText("n1", 5, "{\"routes\": [\"näher\"]}"),
				new NodeMessage.ChangesRequest("n1", 90), new NodeMessage.ConfigurationRequest("n1", 5),
				new NodeMessage.TargetsObserved("n1", changes),
				new NodeMessage.Introduction(ServingSamples.node("n1", 7100)),
				new NodeMessage.IntroductionConfirmed("n1"), new NodeMessage.LeaseReleased("n1", "n1#a"),
				new NodeMessage.Silence("n1", TARGET), new NodeMessage.SilenceConfirmed("n1", TARGET),
				new NodeMessage.ServicesUnreachable("n1", Set.of(ServingSamples.DESK, ServingSamples.ENGINES)),
				new NodeMessage.ServicesUnreachable("n1", Set.of()),
				new NodeMessage.GroupEnded("n1", TARGET, "small.1", 1_000_001),
				new NodeMessage.TargetLimited("n1", TARGET, Optional.of(new RequestRate(1.4))),
				new NodeMessage.TargetLimited("n1", TARGET, Optional.empty()),
				new NodeMessage.TargetLeaving("n1", TARGET, 1_700_000_000_000L),
				CrashMessages.crash("n1", member, Set.of(RequestTrait.content(Long.MIN_VALUE))),
				new NodeMessage.TargetLost("n1", TargetIncarnation.of(member), Duration.ofMillis(70), false,
						Set.of(new LostRequest("a1", Duration.ofMillis(90),
								Set.of(RequestTrait.promptPart("5c1e07a2"), RequestTrait.promptPart("91bd3f06")),
								Set.of(RequestTrait.promptPart("5c1e07a2"))))),
				new NodeMessage.TraitsSound("n1", Set.of(RequestTrait.content(7)), Duration.ofMillis(40)),
				new NodeMessage.TraitsTried("n1", Set.of(RequestTrait.content(7)), Duration.ofMillis(40)));
	}

}
