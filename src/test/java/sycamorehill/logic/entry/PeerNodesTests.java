package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which nodes receive loads, how often, and which nodes count as live.
 */
class PeerNodesTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final Duration STEP = Duration.ofMillis(100);

	private static NodeMessage.Loads loads(int node, int dataCentres) {
		return loads(node, dataCentres, true);
	}

	private static NodeMessage.Loads loads(int node, int dataCentres, boolean storeReached) {
		return new NodeMessage.Loads("n" + node, DataCentreName.of("c" + node % dataCentres), storeReached, Map.of());
	}

	private static NodeRecord node(int node, int dataCentres) {
		return new NodeRecord("n" + node, Address.of("127.0.0.1", 10_000 + node),
				DataCentreName.of("c" + node % dataCentres), 0.75, Optional.empty());
	}

	private static PeerNodes createPeers(int nodes, int dataCentres) {
		PeerNodes peers = PeerNodes.of(node(0, dataCentres));
		peers.updateNodes(IntStream.range(0, nodes).mapToObj((node) -> node(node, dataCentres)).toList(), START);
		for (int node = 1; node < nodes; node++) {
			peers.handleMessage(loads(node, dataCentres), START);
		}
		return peers;
	}

	private static long countMessagesSent(PeerNodes peers, Duration time) {
		long sent = 0;
		for (Instant now = START; now.isBefore(START.plus(time)); now = now.plus(STEP)) {
			if (peers.isLoadSendDue(now)) {
				Effects effects = Effects.create();
				peers.sendLoads(loads(0, 1), now, effects);
				sent += effects.all().stream().mapToLong((effect) -> ((EntryEffect.Send) effect).nodes().size()).sum();
			}
		}
		return sent;
	}

	@Test
	void sixNodesSendLoadsToAllOthersFiveTimesASecond() {
		assertThat(countMessagesSent(createPeers(6, 3), Duration.ofSeconds(10))).isEqualTo(5 * 5 * 10);
	}

	// If each of 91 nodes sent to each other five times a second, each would receive 450
	// messages a second, and small VMs would spend a tenth of their processor time on
	// them.
	@Test
	void manyNodesReceiveNoMoreMessagesThanFew() {
		for (int nodes : new int[] { 30, 91, 410 }) {
			assertThat(countMessagesSent(createPeers(nodes, 4), Duration.ofSeconds(30))).as(nodes + " nodes")
				.isBetween(20L * 30, 60L * 30);
		}
	}

	// All 410 nodes are live and rarely send to each other. If a node considered those
	// that sent nothing for 5 s as failed, it would use their share of the retry budget
	// as well.
	@Test
	void nodesThatSendRarelyCountAsLive() {
		assertThat(createPeers(410, 4).countLiveNodes(START.plusSeconds(20))).isEqualTo(410);
		assertThat(createPeers(6, 3).countLiveNodes(START.plusSeconds(6))).isEqualTo(1);
	}

	// If the store is unreachable for all, the controller may continue. It may not if one
	// node reaches the store, because that one can acquire the lease; nor if it receives
	// messages from so few nodes that it may be partitioned itself.
	@Test
	void theStoreIsUnreachableForAllOnlyIfMostReportItAndNoneReachesIt() {
		PeerNodes peers = createPeers(6, 3);
		Instant now = START.plusSeconds(5);
		for (int node = 1; node < 3; node++) {
			peers.handleMessage(loads(node, 3, false), now);
		}
		assertThat(peers.isStoreUnreachableForAll(now)).isTrue();
		assertThat(peers.isStoreUnreachableForAll(now.plusSeconds(2))).isFalse();
		peers.handleMessage(loads(3, 3, true), now);
		assertThat(peers.isStoreUnreachableForAll(now)).isFalse();
	}

}
