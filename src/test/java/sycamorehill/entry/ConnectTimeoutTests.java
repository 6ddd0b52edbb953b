package sycamorehill.entry;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the connect timeout follows the recent connections.
 */
class ConnectTimeoutTests {

	private final ConnectTimeout timeout = ConnectTimeout.create();

	private void connect(int times, long millis) {
		for (int time = 0; time < times; time++) {
			this.timeout.recordConnection(Duration.ofMillis(millis).toNanos());
		}
	}

	// An engine loses power. A request to it gets an answer on time only if the
	// connection attempt times out well before the time limit of first events.
	@Test
	void timeoutIsShortWhereConnectionsAreFast() {
		connect(40, 9);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(100));
	}

	// Targets in another region are 50 ms away: the timeout must leave an attempt the
	// time to succeed.
	@Test
	void timeoutIsLongerWhereConnectionsAreSlow() {
		connect(40, 2);
		connect(1, 50);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(250));
	}

	@Test
	void timeoutIsMaximalUntilTheWindowIsFull() {
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(300));
		connect(31, 1);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(300));
	}

	// The timeout must shrink again after a burst of slow connections.
	@Test
	void timeoutShrinksAfterSlowConnections() {
		connect(40, 50);
		connect(40, 10);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(100));
	}

}
