package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests through which node requests are sent.
 */
class ProxySelectorTests {

	private final ProxySelector selector = ProxySelector.of(DataCentreName.of("north"),
			HomeRegionRule.of(ServingSamples.settings("one")), new Random(1));

	private Instant now = Instant.ofEpochSecond(1000);

	private static NodeRecord node(String name, String dataCentre) {
		return new NodeRecord(name, Address.of("127.0.0.1", 7100), DataCentreName.of(dataCentre), 0.75,
				Optional.of(Address.of("127.0.0.1", 7200)));
	}

	private Optional<String> select(String... excluded) {
		return this.selector.select(ServingSamples.ENGINES, HomeRegions.ALL, Set.of(excluded), this.now)
			.map(EntryEffect.ProxyNode::name);
	}

	private void report(String node, boolean unreachable) {
		this.selector.handleMessage(
				new NodeMessage.ServicesUnreachable(node, unreachable ? Set.of(ServingSamples.ENGINES) : Set.of()),
				this.now);
	}

	// All requests of a data centre without a path would go to its one other node.
	@Test
	void requestsAreSpreadOverNodesWithThoseOfTheLocalDataCentreFirst() {
		this.selector.updateNodes(List.of(node("n1", "north"), node("s1", "south"), node("s2", "south")));
		assertThat(select()).contains("n1");
		List<String> selected = IntStream.range(0, 30).mapToObj((request) -> {
			String name = select().orElseThrow();
			this.selector.recordSent(name);
			return name;
		}).toList();
		assertThat(selected).filteredOn("n1"::equals).hasSizeBetween(11, 13);
		assertThat(selected).filteredOn("s1"::equals).hasSizeBetween(8, 10);
	}

	@Test
	void nodesThatReportTheServiceAsUnreachableAreLeftOutUntilTheyReachIt() {
		this.selector.updateNodes(List.of(node("n1", "north")));
		report("n1", true);
		assertThat(select()).isEmpty();
		assertThat(this.selector.isReachedElsewhere(ServingSamples.ENGINES, this.now)).isFalse();
		assertThat(this.selector.isReachedElsewhere(ServingSamples.DESK, this.now)).isTrue();
		report("n1", false);
		assertThat(select()).contains("n1");
	}

	// A node ends while it has no path; nobody reports its recovery.
	@Test
	void aReportExpires() {
		this.selector.updateNodes(List.of(node("n1", "north")));
		report("n1", true);
		this.now = this.now.plusMillis(3100);
		assertThat(select()).contains("n1");
	}

	// A node of an earlier version accepts no requests of others.
	@Test
	void nodesWithoutAnAddressForRequestsAreLeftOut() {
		this.selector.updateNodes(List.of(new NodeRecord("n1", Address.of("127.0.0.1", 7100),
				DataCentreName.of("north"), 0.75, Optional.empty())));
		assertThat(select()).isEmpty();
	}

	// A node has lost power, and each request that is sent to it waits.
	@Test
	void aNodeThatFailsAgainIsLeftOutForLonger() {
		this.selector.updateNodes(List.of(node("n1", "north")));
		for (long seconds : List.of(1, 2, 4, 4)) {
			this.selector.eject("n1", this.now);
			this.selector.eject("n1", this.now);
			this.now = this.now.plusMillis(seconds * 1000 - 10);
			assertThat(select()).isEmpty();
			this.now = this.now.plusMillis(20);
			assertThat(select()).contains("n1");
		}
		this.selector.recordDelivered("n1");
		this.selector.eject("n1", this.now);
		this.now = this.now.plusMillis(1010);
		assertThat(select()).contains("n1");
	}

	@Test
	void nodesThatHaveNotAcceptedTheRequestAreExcluded() {
		this.selector.updateNodes(List.of(node("n1", "north"), node("s1", "south")));
		assertThat(select("n1")).contains("s1");
		assertThat(select("n1", "s1")).isEmpty();
	}

}
