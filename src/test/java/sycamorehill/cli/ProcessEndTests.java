package sycamorehill.cli;

import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import sycamorehill.model.log.LogEvent;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessEndTests {

	private final ProcessEnd end = ProcessEnd.create();

	// Answers break off at the end of a process, and no line names them.
	@Test
	void endWithRequestsInFlightIsAWarningThatNamesThem() {
		this.end.setRequestsInFlight(() -> List.of("a1", "a2"));
		assertThat(this.end.line().event()).isEqualTo(LogEvent.PROCESS_ENDS_WITH_REQUESTS);
		assertThat(this.end.line().detail()).isEqualTo("cause='by itself' requests=2 identifiers=a1,a2");
	}

	@Test
	void endWithoutRequestsGivesItsCause() {
		this.end.setCause("drained");
		assertThat(this.end.line().event()).isEqualTo(LogEvent.PROCESS_ENDS);
		assertThat(this.end.line().detail()).isEqualTo("cause='drained' requests=0");
	}

	// A line of hundreds of identifiers is cut by whatever reads the log.
	@Test
	void listIsBounded() {
		this.end.setRequestsInFlight(() -> IntStream.range(0, 1000).mapToObj(String::valueOf).toList());
		assertThat(this.end.line().detail()).startsWith("cause='by itself' requests=1000 identifiers=0,1,")
			.endsWith(",49");
	}

	// A thread that hangs must not hide that the process ended.
	@Test
	void requestsThatCannotBeListedAreAWarning() {
		this.end.setRequestsInFlight(() -> {
			throw new TimeoutException();
		});
		assertThat(this.end.line().event()).isEqualTo(LogEvent.PROCESS_ENDS_WITH_REQUESTS);
	}

}
