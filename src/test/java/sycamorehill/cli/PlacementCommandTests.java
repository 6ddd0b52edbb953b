package sycamorehill.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.entry.LoopbackNode;
import sycamorehill.json.ModelJson;
import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.support.RecordedLog;
import sycamorehill.support.TwoRegions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the output and the exit codes of the placement command against a node over
 * loopback.
 */
class PlacementCommandTests {

	private static final String WRONG_KEY = "wrong-key-91bd3f06";

	private static final int MAXIMUM_ATTEMPTS = 150;

	private static LoopbackNode node;

	private final PrintStream standardOutput = System.out;

	private final PrintStream standardError = System.err;

	private ByteArrayOutputStream output;

	private ByteArrayOutputStream errors;

	@BeforeAll
	static void start() throws Exception {
		node = LoopbackNode.start(TwoRegions.configuration(7, Set.of(TwoRegions.EAST), Set.of()),
				TwoRegions.plain("n1", TwoRegions.NORTH));
	}

	@AfterAll
	static void stop() throws Exception {
		node.close();
	}

	// Waits until the node has read its configuration and targets.
	@BeforeEach
	void captureOutput() throws Exception {
		redirect();
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && explain("/once/x", "--key", "key") != 0; attempt++) {
			Thread.sleep(20);
		}
		redirect();
	}

	private void redirect() {
		this.output = new ByteArrayOutputStream();
		this.errors = new ByteArrayOutputStream();
		System.setOut(new PrintStream(this.output, true, StandardCharsets.UTF_8));
		System.setErr(new PrintStream(this.errors, true, StandardCharsets.UTF_8));
	}

	@AfterEach
	void restoreOutput() {
		System.setOut(this.standardOutput);
		System.setErr(this.standardError);
	}

	private static int explain(String path, String... more) {
		return explainAt(node.pageAddress(), path, more);
	}

	private static int explainAt(Address address, String path, String... more) {
		List<String> words = new ArrayList<>(
				List.of("placement", "--node", address.toString(), "--host", "feed.example", "--path", path));
		words.addAll(List.of(more));
		return SycamorehillCommand.run(ServingProcess.create(), words.toArray(String[]::new));
	}

	private String output() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

	private String errors() {
		return this.errors.toString(StandardCharsets.UTF_8);
	}

	@Test
	void printsWhereARequestWouldGo() {
		assertThat(explain("/once/x", "--key", "key", "--tokens", "700,175")).isEqualTo(ExitCode.DONE);
		assertThat(output()).contains("node one in north (region east), configuration 7",
				"route /once/, service desk, home regions of the route [east]", "workspace yard, priority 1",
				"n1 in north (region east): 0 of 6 slots, not reported, first answer in 30 ms",
				"choice: target n1, first answer in 30 ms, on time");
		assertThat(errors()).isEmpty();
	}

	@Test
	void printsJson() throws Exception {
		assertThat(explain("/once/x", "--key", "key", "--output", "json")).isEqualTo(ExitCode.DONE);
		PlacementExplanation explanation = ModelJson.json().readValue(output(), PlacementExplanation.class);
		assertThat(explanation.choice().orElseThrow().target().orElseThrow().value()).isEqualTo("n1");
	}

	@Test
	void aRefusedRequestIsExplainedAndEndsWithItsCode() {
		assertThat(explain("/stream/x", "--key", "key", "--model", "small")).isEqualTo(ExitCode.REFUSED);
		assertThat(output())
			.contains("refused with status 503: not run: no target can take it, home regions of the " + "route [east]");
	}

	@Test
	void anUnknownRouteIsRefused() {
		assertThat(explain("/nowhere/", "--key", "key")).isEqualTo(ExitCode.REFUSED);
		assertThat(errors()).contains("status 404: no route leads there");
	}

	@Test
	void anUnknownKeyIsRefusedAndNotRepeated() {
		assertThat(explain("/once/x", "--key", WRONG_KEY)).isEqualTo(ExitCode.REFUSED);
		assertThat(errors()).contains("status 401: the key is not known");
		assertThat(explain("/once/x")).isEqualTo(ExitCode.REFUSED);
		assertThat(output() + errors()).doesNotContain(WRONG_KEY);
		assertThat(RecordedLog.lines(WRONG_KEY)).isEmpty();
	}

	@Test
	void aNodeThatDoesNotRunIsNotReachable() {
		Address nobody = FreePorts.find(1).get(0);
		assertThat(explainAt(nobody, "/once/x", "--key", WRONG_KEY)).isEqualTo(ExitCode.NOT_REACHABLE);
		assertThat(errors()).contains(nobody.toString()).doesNotContain(WRONG_KEY);
	}

	@Test
	void badUsageIsTold() {
		assertThat(SycamorehillCommand.run(ServingProcess.create(), "placement", "--node", "127.0.0.1:1"))
			.isEqualTo(ExitCode.BAD_USAGE);
		assertThat(SycamorehillCommand.run(ServingProcess.create(), "placement", "--node", "nowhere", "--host", "h",
				"--path", "/"))
			.isEqualTo(ExitCode.BAD_USAGE);
		assertThat(explain("/once/x", "--key", "key", "--tokens", "many")).isEqualTo(ExitCode.BAD_USAGE);
		assertThat(errors()).contains("tokens");
		assertThat(explain("/once/x", "--no-such-option")).isEqualTo(ExitCode.BAD_USAGE);
	}

}
