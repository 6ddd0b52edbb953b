package sycamorehill.explain;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the cause of a request's outcome is found in the logs of several nodes.
 */
class RequestExplanationTests {

	private static final List<RequestExplanation.SourceLine> LOGS = List.of(
			line("one", "2026-12-03T03:00:01.500Z INFO SYC-1801 CONFIGURATION_IN_FORCE version=7 routes=4"),
			line("one",
					"2026-12-03T03:00:02.000Z INFO SYC-1904 REQUEST_SENT_AGAIN request=a1 route=r service=s attempts=1"
							+ " millis=900 from=i-1 cause='silent' begun=true"),
			line("one",
					"2026-12-03T03:00:03.000Z INFO SYC-1901 REQUEST_SERVED request=a1 route=r service=s attempts=2"
							+ " millis=1900 target=i-2 status=200 first-millis=180 pause-millis=600"),
			line("two",
					"2026-12-03T03:00:02.300Z INFO SYC-1805 TARGET_CHANGED engine=i-1 lost: its report can't be read:"
							+ " NOT_KNOWN"),
			line("two", "2026-12-03T03:00:01.000Z INFO SYC-1713 GROUP_SUMMARY service=s serving-m=1 forming=2"),
			line("two", "2026-12-03T02:00:00.000Z INFO SYC-1905 TARGET_SILENT target=i-1 in-flight=1"),
			line("two", "java.io.IOException: SYC of a stack trace"),
			line("two",
					"2026-12-03T03:00:04.000Z WARN SYC-1902 REQUEST_REFUSED request=b2 route=r service=s attempts=0"
							+ " millis=0 cause='all targets are full' come-back-millis=564"),
			line("two",
					"2026-12-03T03:00:05.000Z WARN SYC-1903 REQUEST_FAILED request=c3 route=r service=d attempts=1"
							+ " millis=392 cause='time is over' outcome=unknown"),
			line("two", "2026-12-03T03:00:06.000Z WARN SYC-1908 SERVICE_UNREACHABLE service=s failed-targets=3"),
			line("two",
					"2026-12-03T03:00:07.000Z INFO SYC-1910 REQUEST_PROXIED request=d4 route=r service=s attempts=1"
							+ " millis=0 node=one"),
			line("one",
					"2026-12-03T03:00:07.400Z INFO SYC-1911 PROXIED_REQUEST_ENDED request=d4 route=r service=s"
							+ " attempts=1 millis=399 origin=two target=i-3 end=Delivered"),
			line("two",
					"2026-12-03T03:00:07.401Z INFO SYC-1901 REQUEST_SERVED request=d4 route=r service=s attempts=1"
							+ " millis=401 target=i-3 node=one status=200 first-millis=180 pause-millis=60"),
			line("two", "2026-12-03T03:00:08.000Z INFO SYC-1913 RETRY_SHARE_CHANGED share=10.5 nodes=4"),
			line("two",
					"2026-12-03T03:00:09.000Z WARN SYC-1902 REQUEST_REFUSED request=e5 route=r service=s attempts=1"
							+ " millis=1 cause='not run by i-1: REFUSED, the retry budget is used up'"
							+ " come-back-millis=564"));

	private static RequestExplanation.SourceLine line(String file, String text) {
		return new RequestExplanation.SourceLine(file, text);
	}

	private static List<String> explanation(String request) {
		return RequestExplanation.find(LOGS, request).orElseThrow().format();
	}

	// A stream pauses and resumes on another target. The loss of the first target is
	// recorded only in the controller's log, on another node.
	@Test
	void findsTheLostTargetInTheLogOfAnotherNode() {
		List<String> output = explanation("a1");
		assertThat(output.get(0)).isEqualTo("request a1 came to one at 2026-12-03T03:00:01.100Z");
		assertThat(output).anyMatch((text) -> text.contains("two TARGET_CHANGED engine=i-1 lost"));
		assertThat(output).noneMatch((text) -> text.contains("TARGET_SILENT"));
		assertThat(output).anyMatch((text) -> text.contains("one CONFIGURATION_IN_FORCE version=7"));
		assertThat(output.get(output.size() - 1))
			.isEqualTo("cause: served with status 200 by i-2, after silent at i-1");
	}

	@Test
	void tellsThroughWhichNodeARequestWasServedAndWhy() {
		List<String> output = explanation("d4");
		assertThat(output.get(0)).startsWith("request d4 came to two");
		assertThat(output).anyMatch((text) -> text.contains("one PROXIED_REQUEST_ENDED"))
			.anyMatch((text) -> text.contains("two SERVICE_UNREACHABLE service=s"));
		assertThat(output).last().isEqualTo("cause: served with status 200 by i-3 through one");
	}

	@Test
	void reportsWhyARequestWasRefusedAndHowManyGroupsServed() {
		List<String> output = explanation("b2");
		assertThat(output).anyMatch((text) -> text.contains("GROUP_SUMMARY service=s serving-m=1 forming=2"));
		assertThat(output).last().isEqualTo("cause: refused, not run: all targets are full");
	}

	@Test
	void reportsThatARetryWasRefusedAndTheShareOfItsNode() {
		List<String> output = explanation("e5");
		assertThat(output).anyMatch((text) -> text.contains("RETRY_SHARE_CHANGED share=10.5 nodes=4"));
		assertThat(output).last()
			.isEqualTo("cause: refused, not run: not run by i-1: REFUSED, the retry budget is used up");
	}

	@Test
	void reportsAnUnknownOutcome() {
		assertThat(explanation("c3")).last().isEqualTo("cause: failed (unknown): time is over");
	}

	@Test
	void findsNothingForOtherRequests() {
		assertThat(RequestExplanation.find(LOGS, "zz")).isEmpty();
		assertThat(RequestExplanation.find(LOGS, "a")).isEmpty();
	}

	@Test
	void readsTheNodeFromThePrefixOfALogCollector() {
		Optional<ParsedLogLine> parsed = ParsedLogLine
			.parse("  2.8797 front-2 2026-12-03T03:00:02.000Z INFO SYC-1905 TARGET_SILENT target=i-1", "all");
		assertThat(parsed.orElseThrow().node()).isEqualTo("front-2");
	}

}
