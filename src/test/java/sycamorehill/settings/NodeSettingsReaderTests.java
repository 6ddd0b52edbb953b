package sycamorehill.settings;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the faults reported for a node's settings; docs/FAULTS.md lists the same faults.
 */
class NodeSettingsReaderTests {

	private static final String VALID = """
			[node]
			name = fukuoka-1
			data-centre = fukuoka
			data-centres = fukuoka, kumamoto
			caller-address = 127.0.0.1:8001
			operator-address = 127.0.0.1:9001
			peer-address = 127.0.0.1:7001
			shared-secret = sixteen-characters
			[platform]
			address = 127.0.0.1:6000
			[membership]
			missed-heartbeats = 3
			[group]
			downtime-share = 0.5
			""";

	@Test
	void validSettingsAreRead() {
		Assertions.assertThat(NodeSettingsReader.parse(VALID)).isInstanceOf(SettingsOutcome.Valid.class);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					name = fukuoka-1                 |                                   | [node] name: missing
					data-centre = fukuoka            | data-centre = osaka               | [node] data-centre = 'osaka': expected one of
					caller-address = 127.0.0.1:8001  | caller-address = 127.0.0.1        | [node] caller-address = '127.0.0.1': expected HOST:PORT
					caller-address = 127.0.0.1:8001  | caller-address = 127.0.0.1:99999  | [node] caller-address = '127.0.0.1:99999': expected HOST:PORT
					operator-address = 127.0.0.1:9001| operator-address = 127.0.0.1:8001 | [node] operator-address = '127.0.0.1:8001': expected an address that no other server
					shared-secret = sixteen-characters| shared-secret = short            | [node] shared-secret = 'short': expected at least 16
					missed-heartbeats = 3            | missed-heartbeats = many          | [membership] missed-heartbeats = 'many': expected a whole number
					missed-heartbeats = 3            | call-timeout = 2 seconds          | [membership] call-timeout = '2 seconds': expected an ISO 8601 duration
					downtime-share = 0.5             | downtime-share = 1.5              | [group] downtime-share = '1.5': expected a number from 0
					missed-heartbeats = 3            | mised-heartbeats = 3              | [membership] mised-heartbeats = '3': no such key
					[platform]                       | [plattform]                       | [plattform]: no such section
					name = fukuoka-1                 | name = a%nname = b                | [node] name = 'a': given more than once
					""")
	void eachFaultIsReportedWithSectionAndKey(String line, String replacementLine, String expected) {
		String replacement = (replacementLine != null) ? replacementLine.replace("%n", "\n") : "";
		List<String> faults = faults(VALID.replace(line, replacement));
		Assertions.assertThat(faults).anyMatch((fault) -> fault.startsWith(expected));
	}

	@Test
	void allFaultsAreReportedTogether() {
		Assertions.assertThat(faults("[node]\nname = n\n").size()).isGreaterThan(5);
	}

	@Test
	void theSharedSecretIsNotPrinted() {
		SettingsOutcome<NodeSettings> outcome = NodeSettingsReader.parse(VALID);
		Assertions.assertThat(outcome.toString()).doesNotContain("sixteen-characters");
	}

	private static List<String> faults(String text) {
		SettingsOutcome<NodeSettings> outcome = NodeSettingsReader.parse(text);
		Assertions.assertThat(outcome).isInstanceOf(SettingsOutcome.Invalid.class);
		return ((SettingsOutcome.Invalid<NodeSettings>) outcome).faults().stream().map(SettingFault::toString).toList();
	}

}
