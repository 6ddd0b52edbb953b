package sycamorehill.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import sycamorehill.model.serving.EntrySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the settings file is read again.
 */
class SettingsFileTests {

	private static final int FIRST_GRACE_SECONDS = 8;

	@TempDir
	private Path directory;

	private final BlockingQueue<EntrySettings> read = new LinkedBlockingQueue<>();

	private Path write(int graceSeconds) throws IOException {
		String text = Files.readString(Path.of("deploy/class-archive.conf"))
			.replace("@address@", "127.0.0.1")
			.replace("bounds.grace_period_s=8", "bounds.grace_period_s=" + graceSeconds);
		return Files.writeString(this.directory.resolve("node.conf"), text);
	}

	// An error that leaves the settings thread cancels its task without a line: no later
	// change of the settings takes effect.
	@Test
	void changesAreReadAfterAnErrorInTheHandlingOfAnEarlierOne() throws Exception {
		Path file = write(FIRST_GRACE_SECONDS);
		SettingsFile.read(file).watch(ProcessSignals.create(), (changed) -> {
			this.read.add(changed);
			if (changed.stopTime().toSeconds() == FIRST_GRACE_SECONDS + 1) {
				throw new OutOfMemoryError("thrown by a test");
			}
		});
		write(FIRST_GRACE_SECONDS + 1);
		assertThat(this.read.poll(10, TimeUnit.SECONDS)).isNotNull();
		write(FIRST_GRACE_SECONDS + 2);
		EntrySettings second = this.read.poll(10, TimeUnit.SECONDS);
		assertThat(second).isNotNull();
		assertThat(second.stopTime()).hasSeconds(FIRST_GRACE_SECONDS + 2);
	}

}
