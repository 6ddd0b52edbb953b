package sycamorehill.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.http.HttpClientPool;
import sycamorehill.http.HttpHeader;
import sycamorehill.http.NotSentException;
import sycamorehill.json.ModelJson;
import sycamorehill.model.identity.Address;

/**
 * What all commands that ask a running node share.
 */
abstract class NodeCommand implements CliCommand {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

	private final ObjectMapper json = ModelJson.json();

	@Option(name = "--node", title = "HOST:PORT",
			description = "Operators' address of any node; for placement, the message address of the node that is asked")
	@Required
	private String node;

	@Option(name = "--output", title = "FORMAT", description = "text (the standard) or json")
	private OutputFormat output = OutputFormat.text;

	protected final HttpAnswer get(String path) throws InterruptedException {
		return call(HttpCall.of(address(), "GET", path, TIMEOUT));
	}

	protected final HttpAnswer get(String path, List<HttpHeader> headers) throws InterruptedException {
		HttpCall call = HttpCall.of(address(), "GET", path, TIMEOUT);
		for (HttpHeader header : headers) {
			call = call.withHeader(header.name(), header.value());
		}
		return call(call);
	}

	protected final HttpAnswer post(String path, String body) throws InterruptedException {
		return call(HttpCall.of(address(), "POST", path, TIMEOUT).withBody(body, "application/json"));
	}

	protected final JsonNode tree(HttpAnswer answer) throws IOException {
		return this.json.readTree(answer.body());
	}

	protected final <T> T value(HttpAnswer answer, Class<T> type) throws IOException {
		return this.json.readValue(answer.body(), type);
	}

	protected final void print(HttpAnswer answer, TextForm text) throws IOException {
		if (this.output == OutputFormat.json) {
			System.out.println(pretty(tree(answer)));
		}
		else {
			text.print();
		}
	}

	protected final String pretty(JsonNode tree) throws IOException {
		return this.json.writerWithDefaultPrettyPrinter().writeValueAsString(tree);
	}

	private Address address() {
		try {
			return Address.parse(this.node);
		}
		catch (IllegalArgumentException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE, "--node: " + ex.getMessage());
		}
	}

	private HttpAnswer call(HttpCall call) throws InterruptedException {
		try (HttpClientPool pool = HttpClientPool.create(CONNECT_TIMEOUT)) {
			return BufferedHttpClient.create(pool).call(call).get();
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof NotSentException) {
				throw CommandException.of(ExitCode.NOT_REACHABLE,
						this.node + " can't be reached: " + ex.getCause().getMessage());
			}
			String detail = (ex.getCause() instanceof TimeoutException) ? "no answer in time"
					: String.valueOf(ex.getCause());
			throw CommandException.of(ExitCode.NOT_KNOWN, this.node + ": " + detail);
		}
	}

	/**
	 * Prints an answer for people.
	 */
	@FunctionalInterface
	interface TextForm {

		/**
		 * Prints.
		 * @throws IOException if the answer can't be read
		 */
		void print() throws IOException;

	}

}
