package sycamorehill.local;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.model.identity.Address;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.TicketRollout;

/**
 * Files and reads tickets as an operator's program does.
 */
public final class OperatorClient {

	private static final int NO_DECISION = 504;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final BufferedHttpClient caller;

	private final ObjectMapper json;

	private OperatorClient(BufferedHttpClient caller, ObjectMapper json) {
		this.caller = caller;
		this.json = json;
	}

	/**
	 * Creates a client.
	 * @param caller makes the calls
	 * @param json reads and writes bodies
	 * @return the client
	 */
	public static OperatorClient create(BufferedHttpClient caller, ObjectMapper json) {
		return new OperatorClient(caller, json);
	}

	/**
	 * Files a ticket.
	 * @param node the operators' address of a node
	 * @param draft the ticket
	 * @return what the node answered
	 */
	public CompletableFuture<FilingOutcome> file(Address node, TicketDraft draft) {
		try {
			HttpCall call = HttpCall.of(node, "POST", "/operator/tickets", TIMEOUT)
				.withBody(this.json.writeValueAsString(draft), "application/json");
			return this.caller.call(call).thenApply((answer) -> read(answer, FilingOutcome.class));
		}
		catch (JsonProcessingException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	/**
	 * Asks where a ticket is in force.
	 * @param node the operators' address of a node
	 * @param number the ticket
	 * @return where it is in force
	 */
	public CompletableFuture<TicketRollout> show(Address node, long number) {
		return this.caller.call(HttpCall.of(node, "GET", "/operator/tickets/" + number, TIMEOUT))
			.thenApply((answer) -> read(answer, TicketRollout.class));
	}

	private <T> T read(HttpAnswer answer, Class<T> type) {
		if (answer.status() == NO_DECISION && type == TicketRollout.class) {
			throw new IllegalStateException("the node did not say where the ticket is in force: " + answer.body());
		}
		try {
			return this.json.readValue(answer.body(), type);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the node answered " + answer.status() + " " + answer.body(), ex);
		}
	}

}
