package sycamorehill.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.load.CallOutcome;
import sycamorehill.load.LoadReport;

/**
 * The whole path over real processes.
 */
class ThinPathProcessTests {

	private static final int SECONDS_BEFORE_KILL = 2;

	@TempDir
	private Path folder;

	// A caller sees answers break off or orders doubled when a node dies. First streams
	// and
	// orders run over six nodes, then one node is killed without notice, and they go on.
	// Cause: whatever the killed node held is lost with it, and others must not guess.
	@Test
	void killingANodeUnderLoadBreaksNoPromise() throws Exception {
		try (ProcessSystem system = ProcessSystem.start(this.folder, 2)) {
			Assertions.assertThat(system.file(system.writeFirstTicket())).isZero();
			Assertions.assertThat(system.awaitInForce(1, ProcessSystem.DATA_CENTRES.size())).isTrue();
			Assertions.assertThat(system.awaitServing()).isTrue();
			ProcessSystem.NodeProcess victim = system.nodes().get(5);
			CompletableFuture<Void> kill = CompletableFuture.runAsync(() -> kill(victim),
					CompletableFuture.delayedExecutor(SECONDS_BEFORE_KILL, TimeUnit.SECONDS));
			LoadReport report = system.load(Duration.ofSeconds(2 * SECONDS_BEFORE_KILL), 40, 20, 1);
			kill.join();
			Assertions.assertThat(report.violations()).isEmpty();
			Assertions.assertThat(report.chats()).containsKey(CallOutcome.COMPLETED);
			Assertions.assertThat(report.orders()).containsKey(CallOutcome.COMPLETED);
			Assertions.assertThat(system.allocatedVms()).doesNotHaveDuplicates().isNotEmpty();
			Assertions.assertThat(system.ticketsInForce(victim)).containsOnly(1L);
		}
	}

	private static void kill(ProcessSystem.NodeProcess node) {
		try {
			node.process().kill();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
