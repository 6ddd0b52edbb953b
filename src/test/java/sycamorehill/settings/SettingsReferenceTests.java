package sycamorehill.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests that the settings reference in docs/SETTINGS.md matches the code.
 */
class SettingsReferenceTests {

	@Test
	void docsListExactlyTheSettingsAndDefaultsOfTheCode() throws IOException {
		List<String> defined = NodeSettingsReader.definitions()
			.stream()
			.map(SettingsReferenceTests::line)
			.sorted()
			.toList();
		Assertions.assertThat(documented()).isEqualTo(defined);
	}

	private static List<String> documented() throws IOException {
		List<String> lines = new ArrayList<>();
		String section = "";
		for (String line : Files.readAllLines(Path.of("docs/SETTINGS.md"))) {
			if (line.startsWith("## [")) {
				section = line.substring("## [".length(), line.indexOf(']'));
			}
			else if (line.startsWith("| `")) {
				String[] cells = line.split("\\|");
				lines.add(section + " " + cells[1].strip() + " " + cells[2].strip());
			}
		}
		return lines.stream().sorted().toList();
	}

	private static String line(SettingDefinition definition) {
		String defaultValue = definition.defaultValue();
		String displayedDefault = (defaultValue.isEmpty() || defaultValue.equals("[]")) ? "none"
				: "`" + defaultValue + "`";
		return definition.section() + " `" + definition.key() + "` " + displayedDefault;
	}

}
