package sycamorehill.entry;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How long a connection attempt may take.
 */
class ConnectTimeoutTests {

	private final ConnectTimeout timeout = ConnectTimeout.create();

	private void connect(int times, long millis) {
		for (int time = 0; time < times; time++) {
			this.timeout.recordConnection(Duration.ofMillis(millis).toNanos());
		}
	}

	// An engine loses power. A caller whose request goes there has an answer in time only
	// if the attempt is given up well before the time in which first events are wanted.
	@Test
	void timeoutIsShortWhereConnectionsAreFast() {
		connect(40, 9);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(100));
	}

	// Targets in another region are 50 ms away: an attempt there must not be given up
	// before it can succeed.
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

	// A burst of slow connections is over: the timeout goes down again.
	@Test
	void timeoutShrinksAfterSlowConnections() {
		connect(40, 50);
		connect(40, 10);
		assertThat(this.timeout.current()).isEqualTo(Duration.ofMillis(100));
	}

}
