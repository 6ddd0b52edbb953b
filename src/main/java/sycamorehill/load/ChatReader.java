package sycamorehill.load;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;

import sycamorehill.http.EventStreamReader;

/**
 * Reads one streamed completion token by token. Used by one traffic thread at a time.
 */
final class ChatReader {

	private static final String END_MARK = "[DONE]";

	private final EventStreamReader events = EventStreamReader.create();

	private final StringBuilder text = new StringBuilder();

	private final List<Duration> gaps = new ArrayList<>();

	private final InstantSource clock;

	private final ObjectMapper json;

	private final Instant planned;

	private Instant lastToken;

	private Duration firstToken;

	private int status;

	private boolean whole;

	private CallOutcome refused;

	private String detail = "";

	private ChatReader(InstantSource clock, ObjectMapper json, Instant planned) {
		this.clock = clock;
		this.json = json;
		this.planned = planned;
	}

	static ChatReader create(InstantSource clock, ObjectMapper json, Instant planned) {
		return new ChatReader(clock, json, planned);
	}

	void status(int code) {
		this.status = code;
	}

	ChatReader take(Buffer buffer) {
		for (String data : this.events.read(buffer)) {
			take(data);
		}
		return this;
	}

	ChatReader problem(String body) {
		refuse(tree(body));
		return this;
	}

	CallResult result() {
		if (this.whole) {
			return build(CallOutcome.COMPLETED);
		}
		return build((this.refused != null) ? this.refused : CallOutcome.NO_ANSWER);
	}

	CallResult broken(String reason) {
		this.detail = reason;
		return build(CallOutcome.NO_ANSWER);
	}

	private CallResult build(CallOutcome outcome) {
		return new CallResult(outcome, this.status, this.text.toString(), Optional.ofNullable(this.firstToken),
				List.copyOf(this.gaps), this.detail);
	}

	private void take(String data) {
		if (data.equals(END_MARK)) {
			this.whole = true;
			return;
		}
		JsonNode event = tree(data);
		if (event.has("error")) {
			refuse(event.path("error"));
			return;
		}
		JsonNode content = event.path("choices").path(0).path("delta").path("content");
		if (content.isTextual()) {
			token(content.asText());
		}
	}

	private void token(String token) {
		Instant now = this.clock.instant();
		if (this.firstToken == null) {
			this.firstToken = Duration.between(this.planned, now);
		}
		else {
			this.gaps.add(Duration.between(this.lastToken, now));
		}
		this.lastToken = now;
		this.text.append(token);
	}

	private void refuse(JsonNode problem) {
		this.refused = CallerClient.outcome(problem.path("outcome").asText("failed"));
		this.detail = problem.path("reason").asText("");
	}

	private JsonNode tree(String data) {
		try {
			return this.json.readTree(data);
		}
		catch (IOException ex) {
			throw new IllegalStateException("an event can't be read: " + data, ex);
		}
	}

}
