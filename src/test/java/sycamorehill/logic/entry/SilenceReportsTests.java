package sycamorehill.logic.entry;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a silent target is confirmed, so that all nodes are informed.
 */
class SilenceReportsTests {

	private static final TargetName HEAD = TargetName.of("head");

	private final Instant start = Instant.ofEpochSecond(1000);

	private final SilenceReports reports = new SilenceReports();

	private boolean recordReport(String node, long millis) {
		return this.reports.recordReport(node, HEAD, this.start.plusMillis(millis)).isPresent();
	}

	// The link between one node and a target is broken, while all other nodes are served.
	@Test
	void reportsOfASingleNodeConfirmNothing() {
		assertThat(recordReport("one", 0)).isFalse();
		assertThat(recordReport("one", 500)).isFalse();
		assertThat(recordReport("one", 3000)).isFalse();
		assertThat(recordReport("two", 4500)).isFalse();
	}

	// A group loses a member: seventy nodes report it within a moment, and all must be
	// informed once.
	@Test
	void twoNodesConfirmASilenceOnce() {
		assertThat(recordReport("one", 0)).isFalse();
		assertThat(recordReport("two", 10)).isTrue();
		assertThat(recordReport("three", 20)).isFalse();
		assertThat(recordReport("four", 900)).isFalse();
	}

	@Test
	void theNextSilenceIsConfirmedAgain() {
		recordReport("one", 0);
		assertThat(recordReport("two", 10)).isTrue();
		assertThat(recordReport("one", 5000)).isFalse();
		assertThat(recordReport("two", 5010)).isTrue();
	}

}
