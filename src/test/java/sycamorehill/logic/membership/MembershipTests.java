package sycamorehill.logic.membership;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import sycamorehill.experiment.ControlNode;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.Heartbeat;
import sycamorehill.support.NodeGroup;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which nodes are considered live after crashes, pauses, network partitions and
 * restarts.
 */
class MembershipTests {

	private static final DataCentreName FUKUOKA = DataCentreName.of("fukuoka");

	private static final int LARGE_DATA_CENTRE_SIZE = 20;

	private final NodeGroup group = NodeGroup.create(new SplittableRandom(11));

	@Test
	void sixNodesOfThreeDataCentresKnowEachOther() {
		startSix();
		assertThat(this.group.nodes()).allMatch((node) -> node.liveNodes().nodes().size() == 6);
	}

	@Test
	void killedNodeIsRemovedEverywhere() {
		startSix();
		this.group.kill("node-1");
		this.group.runFor(Duration.ofSeconds(8));
		assertThat(this.group.nodes()).noneMatch((node) -> knows(node, "node-1"));
	}

	@Test
	void killedNodeOfALargeDataCentreIsRemovedEverywhere() {
		startLarge();
		this.group.kill("node-3");
		this.group.runFor(Duration.ofSeconds(10));
		assertThat(this.group.nodes()).noneMatch((node) -> knows(node, "node-3"));
	}

	@Test
	void killedDelegatesAreReplacedAndRemoved() {
		// Both delegates of a data centre crash at once. Without successors, the other
		// data centres would consider all its nodes dead although they run.
		startLarge();
		List<String> delegates = delegates();
		delegates.forEach(this.group::kill);
		this.group.runFor(Duration.ofSeconds(25));
		assertThat(this.group.nodes())
			.allMatch((node) -> node.liveNodes().in(FUKUOKA).size() == LARGE_DATA_CENTRE_SIZE - delegates.size());
	}

	@Test
	void nodeUnreachableForOneDelegateStaysLiveThroughTheOther() {
		// A one-way link failure: the heartbeats of a node no longer reach one of the two
		// delegates. If the silence at one delegate were enough, a healthy node would be
		// considered dead.
		startLarge();
		String delegate = delegates().get(0);
		String sender = nonDelegate();
		this.group.cut((from, to) -> from.incarnation().node().value().equals(sender)
				&& to.incarnation().node().value().equals(delegate));
		this.group.runFor(Duration.ofSeconds(30));
		assertThat(this.group.nodes()).allMatch((node) -> knows(node, sender));
	}

	@Test
	void deadNodeIsRemovedAlthoughADelegateReliesOnAnother() {
		// A node reaches only one delegate and then crashes. The other delegate knew it
		// only from the report of the first. If it reported the node as received by
		// itself, both would keep the dead node live forever.
		startLarge();
		String delegate = delegates().get(0);
		String sender = nonDelegate();
		this.group.cut((from, to) -> from.incarnation().node().value().equals(sender)
				&& to.incarnation().node().value().equals(delegate));
		this.group.runFor(Duration.ofSeconds(10));
		this.group.kill(sender);
		this.group.runFor(Duration.ofSeconds(15));
		assertThat(this.group.nodes()).noneMatch((node) -> knows(node, sender));
	}

	@Test
	void pausedNodeIsRemovedAndRejoins() {
		startSix();
		this.group.pause("node-2", Duration.ofSeconds(10));
		this.group.runFor(Duration.ofSeconds(8));
		boolean dropped = !knows(this.group.node("node-1"), "node-2");
		this.group.runFor(Duration.ofSeconds(6));
		assertThat(dropped && knows(this.group.node("node-5"), "node-2")).isTrue();
	}

	@Test
	void restartedNodeIsANewIncarnation() {
		startSix();
		long before = this.group.node("node-1").self().incarnation().number();
		this.group.start("node-1", "fukuoka");
		this.group.runFor(Duration.ofSeconds(5));
		assertThat(this.group.nodes()).allMatch((node) -> incarnation(node, "node-1") > before);
	}

	@Test
	void delayedHeartbeatOfAnEarlierIncarnationIsIgnored() {
		// A delayed heartbeat of the previous incarnation arrives after those of the
		// restarted node. Requests would be sent to an incarnation that no longer exists.
		startSix();
		NodeIdentity earlier = this.group.node("node-1").self();
		this.group.start("node-1", "fukuoka");
		this.group.runFor(Duration.ofSeconds(5));
		Heartbeat delayed = new Heartbeat(false, 0, 1000, false, 0, List.of(), List.of(), List.of());
		ControlNode after = this.group.node("node-2")
			.reduce(this.group.now(), new PeerEvent.MessageReceived(earlier, delayed))
			.state();
		assertThat(incarnation(after, "node-1")).isGreaterThan(earlier.incarnation().number());
	}

	@Test
	void stoppingNodeTakesNoDuties() {
		startSix();
		this.group.stop("node-1");
		this.group.runFor(Duration.ofSeconds(3));
		assertThat(this.group.nodes()).allMatch((node) -> node.liveNodes().notStoppingIn(FUKUOKA).size() == 1);
	}

	@Test
	void partitionedDataCentreKeepsItsOwnNodes() {
		startSix();
		partition("fukuoka");
		this.group.runFor(Duration.ofSeconds(15));
		assertThat(this.group.node("node-1").liveNodes().nodes().keySet()).containsExactly(NodeName.of("node-1"),
				NodeName.of("node-2"));
	}

	@Test
	void dataCentreRejoinsAfterAPartition() {
		startSix();
		partition("fukuoka");
		this.group.runFor(Duration.ofSeconds(60));
		this.group.cut((from, to) -> false);
		this.group.runFor(Duration.ofSeconds(10));
		assertThat(this.group.nodes()).allMatch((node) -> node.liveNodes().nodes().size() == 6);
	}

	@Test
	void dataCentreReplacedInAPlatformOutageIsDiscovered() {
		// All nodes of a data centre are replaced at the same addresses during a platform
		// outage, so that they can't discover each other through the platform. The other
		// data centres still know the addresses and probe them.
		startSix();
		this.group.platform().down(true);
		this.group.start("node-1", "fukuoka");
		this.group.start("node-2", "fukuoka");
		this.group.runFor(Duration.ofSeconds(12));
		assertThat(this.group.nodes()).allMatch((node) -> node.liveNodes().nodes().size() == 6);
	}

	@Test
	void allNodesOfALargeDataCentreReplacedAtOnceFindEachOther() {
		startLarge();
		for (int index = 1; index <= LARGE_DATA_CENTRE_SIZE; index++) {
			this.group.start("node-" + index, "fukuoka");
		}
		this.group.runFor(Duration.ofSeconds(20));
		assertThat(this.group.nodes())
			.allMatch((node) -> node.liveNodes().nodes().size() == LARGE_DATA_CENTRE_SIZE + 2);
	}

	private void startSix() {
		String[] dataCentres = { "fukuoka", "kumamoto", "kagoshima" };
		for (int index = 0; index < 6; index++) {
			this.group.start("node-" + (index + 1), dataCentres[index / 2]);
		}
		this.group.runFor(Duration.ofSeconds(6));
	}

	private void startLarge() {
		for (int index = 1; index <= LARGE_DATA_CENTRE_SIZE; index++) {
			this.group.start("node-" + index, "fukuoka");
		}
		this.group.start("other-1", "kumamoto");
		this.group.start("other-2", "kumamoto");
		this.group.runFor(Duration.ofSeconds(15));
		assertThat(this.group.nodes())
			.allMatch((node) -> node.liveNodes().nodes().size() == LARGE_DATA_CENTRE_SIZE + 2);
	}

	private List<String> delegates() {
		return Delegates.in(this.group.node("node-1"), FUKUOKA)
			.stream()
			.map((node) -> node.identity().incarnation().node().value())
			.toList();
	}

	private String nonDelegate() {
		List<String> delegates = delegates();
		return this.group.node("node-1")
			.liveNodes()
			.in(FUKUOKA)
			.stream()
			.map((node) -> node.identity().incarnation().node().value())
			.filter((name) -> !delegates.contains(name))
			.findFirst()
			.orElseThrow();
	}

	private void partition(String dataCentre) {
		DataCentreName name = DataCentreName.of(dataCentre);
		this.group.cut((from, to) -> from.dataCentre().equals(name) != to.dataCentre().equals(name));
	}

	private static boolean knows(ControlNode node, String name) {
		return node.liveNodes().nodes().containsKey(NodeName.of(name));
	}

	private static long incarnation(ControlNode node, String name) {
		LiveNode live = node.liveNodes().nodes().get(NodeName.of(name));
		return (live != null) ? live.identity().incarnation().number() : 0;
	}

}
