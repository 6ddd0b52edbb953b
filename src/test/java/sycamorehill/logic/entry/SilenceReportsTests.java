package sycamorehill.logic.entry;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When all nodes are told that a target is silent.
 */
class SilenceReportsTests {

	private static final TargetName HEAD = TargetName.of("head");

	private final Instant start = Instant.ofEpochSecond(1000);

	private final SilenceReports reports = new SilenceReports();

	private boolean confirms(String node, long millis) {
		return this.reports.confirms(node, HEAD, this.start.plusMillis(millis));
	}

	// The link between one node and a target is cut, and all other nodes are served.
	@Test
	void oneNodesWordIsNotEnough() {
		assertThat(confirms("one", 0)).isFalse();
		assertThat(confirms("one", 500)).isFalse();
		assertThat(confirms("one", 3000)).isFalse();
		assertThat(confirms("two", 4500)).isFalse();
	}

	// A group lost a member: seventy nodes report it within a moment, and all are told
	// once.
	@Test
	void twoNodesConfirmASilenceOnce() {
		assertThat(confirms("one", 0)).isFalse();
		assertThat(confirms("two", 10)).isTrue();
		assertThat(confirms("three", 20)).isFalse();
		assertThat(confirms("four", 900)).isFalse();
	}

	@Test
	void theNextSilenceIsConfirmedAgain() {
		confirms("one", 0);
		assertThat(confirms("two", 10)).isTrue();
		assertThat(confirms("one", 5000)).isFalse();
		assertThat(confirms("two", 5010)).isTrue();
	}

}
