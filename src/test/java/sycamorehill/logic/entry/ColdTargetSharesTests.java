package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.logic.dispatch.CountedNodes;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a node may send to cold targets, and among which nodes they are divided.
 */
class ColdTargetSharesTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private static final Duration WAIT = Duration.ofSeconds(2);

	private final RegisteredNodes nodes = RegisteredNodes.of("b");

	private final ColdTargetShares shares = ColdTargetShares.of(this.nodes);

	private CountedNodes counted(Duration since) {
		return this.shares.countedNodes(START.plus(since));
	}

	// The process before it may have spent its tokens just before it ended.
	@Test
	void aNewProcessWaitsForAWindowAfterAllOthersCountIt() {
		assertThat(counted(WAIT).counted()).isFalse();
		this.nodes.handleList(Set.of("a", "b"), START);
		assertThat(counted(WAIT).counted()).isFalse();
		this.nodes.handleConfirmation("a", START.plusSeconds(1));
		assertThat(counted(WAIT.plusMillis(999)).counted()).isFalse();
		assertThat(counted(WAIT.plusSeconds(1)).counted()).isTrue();
		assertThat(counted(WAIT).names()).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void aStoppingNodeSendsNothing() {
		this.nodes.handleList(Set.of("b"), START);
		this.shares.stop();
		assertThat(counted(WAIT).counted()).isFalse();
	}

	// Behind a partition from the store, a node would not learn of those that register.
	@Test
	void aNodeThatReadsNoListsSendsNothing() {
		this.nodes.handleList(Set.of("b"), START);
		assertThat(counted(Duration.ofMinutes(2).minusMillis(1)).counted()).isTrue();
		assertThat(counted(Duration.ofMinutes(2)).counted()).isFalse();
	}

	@Test
	void aNodeThatHasDeregisteredIsCountedForAnotherWindow() {
		this.nodes.handleList(Set.of("a", "b"), START);
		this.nodes.handleConfirmation("a", START);
		Duration listed = Duration.ofSeconds(15);
		this.nodes.handleList(Set.of("b"), START.plus(listed));
		assertThat(counted(listed.plus(WAIT)).names()).contains("a");
		assertThat(counted(listed.plus(WAIT).plusMillis(1)).names()).containsExactly("b");
	}

}
