package sycamorehill;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Names of the users' platform stand in its adapter only: a change of theirs must touch
 * one small folder.
 */
class PlatformNamesTests {

	private static final Path SOURCES = Path.of("src/main/java/sycamorehill");

	private static final List<String> NAMES = List.of("Attempt-Id", "Not-Executed", "Expect-Instance",
			"Server-Signature", "Deadline-Ms", "Prompt-Prefix", "Token-Usage", "Engine-Load", "Request-Priority",
			"Weight-Versions", "Expect-Version", "kv_used", "fencing_token", "warmup_left_ms", "allow_stale",
			"max_attempts", "path_prefix", "target_latency_ms", "batch_slots", "\"servers\"", "wait_ms", "loads_per_s",
			"bind.front", "SYCAMOREHILL_CONFIG", "/-/order", "/-/report", "/-/ready", "close_mode");

	@Test
	void standInTheAdapterOnly() throws IOException {
		try (Stream<Path> files = Files.walk(SOURCES)) {
			List<String> found = files.filter((file) -> file.toString().endsWith(".java"))
				.filter((file) -> !file.startsWith(SOURCES.resolve("platform")))
				.flatMap((file) -> named(file).stream())
				.toList();
			assertThat(found).isEmpty();
		}
	}

	private static List<String> named(Path file) {
		try {
			String text = Files.readString(file);
			return NAMES.stream().filter(text::contains).map((name) -> file + " names " + name).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
