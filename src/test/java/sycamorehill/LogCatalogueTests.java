package sycamorehill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.model.log.LogEvent;

/**
 * The catalogue of log events in docs.
 */
class LogCatalogueTests {

	@Test
	void docsListExactlyTheEventsOfTheCode() throws IOException {
		List<String> documented = Files.readAllLines(Path.of("docs/LOGS.md"))
			.stream()
			.filter((line) -> line.startsWith("| SYC-"))
			.map((line) -> line.split("\\|"))
			.map((cells) -> cells[1].strip() + " " + cells[2].strip())
			.sorted()
			.toList();
		List<String> coded = Arrays.stream(LogEvent.values())
			.map((event) -> event.code() + " " + event.level())
			.sorted()
			.toList();
		Assertions.assertThat(documented).isEqualTo(coded);
	}

}
