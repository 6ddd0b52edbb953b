package sycamorehill.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.json.ModelJson;
import sycamorehill.logic.ticket.TicketValidator;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.TicketDraft;

/**
 * Tests that the example files for users are valid.
 */
class ExamplesTests {

	@ParameterizedTest
	@ValueSource(strings = { "examples/kurokawa-node.ini", "examples/agnishikha-node.ini" })
	void exampleNodesAreValid(String file) {
		Assertions.assertThat(NodeSettingsReader.read(Path.of(file))).isInstanceOf(SettingsOutcome.Valid.class);
	}

	@Test
	void exampleStandInsAreValid() {
		Assertions.assertThat(StandInSettingsReader.read(Path.of("examples/stand-in.ini")))
			.isInstanceOf(SettingsOutcome.Valid.class);
	}

	@Test
	void exampleLoadIsValid() {
		Assertions.assertThat(LoadSettingsReader.read(Path.of("examples/load.ini")))
			.isInstanceOf(SettingsOutcome.Valid.class);
	}

	@Test
	void exampleTicketIsValidForEmptyDesiredState() throws IOException {
		TicketDraft draft = ModelJson.json()
			.readValue(Files.readString(Path.of("examples/first-ticket.json")), TicketDraft.class);
		Assertions.assertThat(TicketValidator.validate(draft, DesiredState.empty()).faults()).isEmpty();
	}

}
