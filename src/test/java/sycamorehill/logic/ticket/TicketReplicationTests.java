package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.model.ticket.DataCentreRollout;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.support.Drafts;
import sycamorehill.support.NodeGroup;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the replication of tickets to the nodes and the reported rollout status.
 */
class TicketReplicationTests {

	private static final DataCentreName FUKUOKA = DataCentreName.of("fukuoka");

	private static final String[] DATA_CENTRES = { "fukuoka", "kumamoto", "kagoshima" };

	private final NodeGroup group = NodeGroup.create(new SplittableRandom(5));

	@Test
	void dataCentreWithoutThePlatformReceivesTicketsFromPeers() {
		startSix();
		this.group.platformReachable("fukuoka", false);
		this.group.runFor(Duration.ofSeconds(10));
		file("node-5", 1);
		assertThat(this.group.node("node-1").desiredState().get().number()).isEqualTo(1);
	}

	@Test
	void partitionedDataCentreCatchesUpAfterThePartition() {
		startSix();
		partitionFukuoka();
		file("node-5", 1);
		file("node-5", 2);
		this.group.cut((from, to) -> false);
		this.group.platformReachable("fukuoka", true);
		this.group.runFor(Duration.ofSeconds(20));
		assertThat(this.group.nodes()).allMatch((node) -> node.desiredState().get().number() == 2);
	}

	@Test
	void nodeRequestsLostTicketsAfterAHeartbeat() {
		// All pushes of a ticket are lost. Without heartbeats, nodes that are not
		// delegates would never receive it and would serve callers by the old state.
		for (int index = 1; index <= 8; index++) {
			this.group.start("node-" + index, "fukuoka");
		}
		this.group.runFor(Duration.ofSeconds(8));
		this.group.links(1, 0);
		this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofMillis(500));
		this.group.links(0, 0);
		this.group.runFor(Duration.ofSeconds(5));
		assertThat(this.group.nodes()).allMatch((node) -> node.desiredState().get().number() == 1);
	}

	@Test
	void rolloutListsEveryDataCentreThatAppliedTheTicket() {
		startSix();
		file("node-1", 1);
		assertThat(rollout("node-4", 1)).hasSize(3)
			.allMatch((rollout) -> rollout.nodesInForce() == 2 && rollout.inForceSince().isPresent());
	}

	@Test
	void rolloutListsNodesThatLackTheTicket() {
		startSix();
		file("node-1", 1);
		this.group.pause("node-6", Duration.ofSeconds(3));
		this.group.file("node-1", Drafts.service("f2", "drafting", "2", 1));
		this.group.runFor(Duration.ofMillis(500));
		DataCentreRollout kagoshima = rollout("node-1", 2).stream()
			.filter((rollout) -> rollout.dataCentre().equals(DataCentreName.of("kagoshima")))
			.findFirst()
			.orElseThrow();
		assertThat(kagoshima.missing()).singleElement().asString().contains("node-6: had ticket 1");
	}

	@Test
	void rolloutReportsThatAPartitionedDataCentreDoesNotAnswer() {
		startSix();
		partitionFukuoka();
		file("node-5", 1);
		DataCentreRollout fukuoka = rollout("node-5", 1).stream()
			.filter((rollout) -> rollout.dataCentre().equals(FUKUOKA))
			.findFirst()
			.orElseThrow();
		assertThat(fukuoka.missing()).singleElement().asString().contains("no delegate of fukuoka has answered");
	}

	@Test
	void replacedNodesHaveNoDesiredStateUntilTheOutageEnds() {
		startSix();
		file("node-1", 1);
		this.group.platform().down(true);
		for (int index = 1; index <= 6; index++) {
			this.group.kill("node-" + index);
		}
		for (int index = 1; index <= 6; index++) {
			this.group.start("node-" + index, DATA_CENTRES[(index - 1) / 2]);
		}
		this.group.runFor(Duration.ofSeconds(20));
		boolean none = this.group.nodes().stream().allMatch((node) -> node.desiredState().isEmpty());
		this.group.platform().down(false);
		this.group.runFor(Duration.ofSeconds(45));
		assertThat(none).isTrue();
		assertThat(this.group.nodes()).allMatch((node) -> node.desiredState().get().number() == 1);
	}

	@Test
	void filingIsRefusedWhileAPeerHasATicketThatThePlatformLacks() {
		// The platform was restored empty, and a restarted node has read it. A peer
		// reports ticket 3 but has not sent it yet. If the restarted node created a
		// ticket now, a second ticket 1 would be accepted.
		this.group.start("node-1", "fukuoka");
		this.group.runFor(Duration.ofSeconds(5));
		NodeIdentity peer = new NodeIdentity(NodeIncarnation.of(NodeName.of("node-2"), 77), FUKUOKA,
				Address.of("10.0.0.9", 9));
		this.group.deliver("node-1", peer, new Heartbeat(false, 3, 1000, false, 0, List.of(), List.of(), List.of()));
		OperatorCallIdentifier call = this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(20));
		assertThat(this.group.outcome(call)).isInstanceOf(FilingOutcome.Refused.class);
	}

	private void startSix() {
		for (int index = 0; index < 6; index++) {
			this.group.start("node-" + (index + 1), DATA_CENTRES[index / 2]);
		}
		this.group.runFor(Duration.ofSeconds(6));
	}

	private void file(String node, int number) {
		this.group.file(node, Drafts.service("f" + number, "drafting", "" + number, number - 1L));
		this.group.runFor(Duration.ofSeconds(2));
	}

	private void partitionFukuoka() {
		this.group.cut((from, to) -> from.dataCentre().equals(FUKUOKA) != to.dataCentre().equals(FUKUOKA));
		this.group.platformReachable("fukuoka", false);
	}

	private List<DataCentreRollout> rollout(String node, long number) {
		OperatorCallIdentifier call = this.group.askForce(node, number);
		this.group.runFor(Duration.ofSeconds(3));
		return this.group.force(call).dataCentres();
	}

}
