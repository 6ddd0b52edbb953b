package sycamorehill.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.model.identity.Address;

/**
 * Asks the stand-ins of plain services what they really ran.
 */
public final class TargetRuns {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private TargetRuns() {
	}

	/**
	 * Adds up the runs of all targets.
	 * @param caller makes the calls
	 * @param json reads the answers
	 * @param targets the stand-ins
	 * @return how often each idempotency key ran
	 */
	public static Map<String, Long> byKey(BufferedHttpClient caller, ObjectMapper json, List<Address> targets) {
		Map<String, Long> runs = new HashMap<>();
		for (Address target : targets) {
			HttpAnswer answer = caller.call(HttpCall.of(target, "GET", "/stand-in/runs", TIMEOUT)).join();
			tree(json, answer).forEach(
					(run) -> runs.merge(run.path("idempotencyKey").asText(), run.path("count").asLong(), Long::sum));
		}
		return runs;
	}

	private static JsonNode tree(ObjectMapper json, HttpAnswer answer) {
		try {
			JsonNode tree = json.readTree(answer.body());
			return tree.has("runs") ? tree.path("runs") : tree;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
