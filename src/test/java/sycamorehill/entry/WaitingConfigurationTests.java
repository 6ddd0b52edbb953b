package sycamorehill.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.EntryEffect;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that only the newest of several configurations is parsed.
 */
class WaitingConfigurationTests {

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	private final List<Long> parsed = new ArrayList<>();

	private final WaitingConfiguration waiting = WaitingConfiguration.of(this.tasks::add,
			(received) -> this.parsed.add(received.version()));

	private void add(long... versions) {
		for (long version : versions) {
			this.waiting.add(new EntryEffect.ParseConfiguration("a", version, "text"));
		}
	}

	private void runTasks() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	// Versions in quick succession must not hold up the loop one after another.
	@Test
	void ofSeveralThatWaitOnlyTheNewestIsParsed() {
		add(2, 3, 5, 4);
		runTasks();
		assertThat(this.parsed).containsExactly(5L);
	}

	@Test
	void aLaterOneIsParsedAsWell() {
		add(2);
		runTasks();
		add(3);
		runTasks();
		assertThat(this.parsed).containsExactly(2L, 3L);
	}

}
