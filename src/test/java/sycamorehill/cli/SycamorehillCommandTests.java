package sycamorehill.cli;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SycamorehillCommandTests {

	// A node is started by hand without settings of either kind. It says what is missing
	// and ends, as it does with options that it doesn't know.
	@Test
	void serveWithoutSettingsIsRefused() {
		assertThat(SycamorehillCommand.run(ServingProcess.create(), "serve")).isEqualTo(ExitCode.BAD_USAGE);
		assertThat(SycamorehillCommand.run(ServingProcess.create(), "serve", "--no-such-option"))
			.isEqualTo(ExitCode.BAD_USAGE);
	}

}
