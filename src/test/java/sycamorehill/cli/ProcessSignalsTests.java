package sycamorehill.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessSignalsTests {

	private final Map<String, Runnable> source = new HashMap<>();

	private final List<String> done = new ArrayList<>();

	private final ProcessSignals signals = ProcessSignals.create();

	ProcessSignalsTests() {
		this.signals.listen(this.source::put);
	}

	private void receive(String... names) {
		for (String name : names) {
			this.source.get(name).run();
		}
	}

	// Each further signal would begin the drain's time anew, or end the process.
	@Test
	void onlyTheFirstStopSignalStops() {
		this.signals.onStop(() -> this.done.add("stop"));
		receive("TERM", "INT", "TERM");
		assertThat(this.done).containsExactly("stop");
	}

	// A stop that is asked for during the start must not be forgotten.
	@Test
	void stopDuringTheStartIsCarriedOutAfterIt() {
		receive("INT", "TERM");
		assertThat(this.done).isEmpty();
		this.signals.onStop(() -> this.done.add("stop"));
		assertThat(this.done).containsExactly("stop");
	}

	// Settings that change during the start would else stay unread until the next look.
	@Test
	void hangUpDuringTheStartReadsTheSettingsAfterIt() {
		receive("HUP");
		this.signals.onReload(() -> this.done.add("read"));
		receive("HUP");
		assertThat(this.done).containsExactly("read", "read");
	}

	// The grace may change while the node stops.
	@Test
	void hangUpWithinAStopReadsTheSettings() {
		this.signals.onStop(() -> this.done.add("stop"));
		this.signals.onReload(() -> this.done.add("read"));
		receive("TERM", "HUP", "TERM");
		assertThat(this.done).containsExactly("stop", "read");
	}

	// HUP ends a process that has no handler for it.
	@Test
	void hangUpWithoutSettingsToReadIsIgnored() {
		this.signals.ignoreReload();
		receive("HUP", "HUP");
		assertThat(this.done).isEmpty();
	}

}
