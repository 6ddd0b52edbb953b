package sycamorehill.gateway;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpRequestMetaData;

import sycamorehill.engine.PromptPrefixes;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.order.OrderNumbers;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.WorkspaceKeys;

/**
 * Reads callers' requests; what it can't read is refused with every word of why.
 */
final class CallerRequestReader {

	static final String SERVICES_PREFIX = "/services/";

	private static final String BEARER = "Bearer ";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int MOST_TOKENS = 100_000;

	private static final int LONGEST_KEY = 200;

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration LONGEST_TIMEOUT = Duration.ofMinutes(10);

	private final NodeIncarnation self;

	private final InstantSource clock;

	private final ObjectMapper json;

	private final AtomicLong requests = new AtomicLong();

	private final SecureRandom random = new SecureRandom();

	private CallerRequestReader(NodeIncarnation self, InstantSource clock, ObjectMapper json) {
		this.self = self;
		this.clock = clock;
		this.json = json;
	}

	static CallerRequestReader create(NodeIncarnation self, InstantSource clock, ObjectMapper json) {
		return new CallerRequestReader(self, clock, json);
	}

	CallerCall chat(HttpRequestMetaData head, String body) {
		ChatRequestBody chat = chatBody(body);
		ServiceName service = serviceName(chat.model());
		String prompt = chat.prompt();
		RequestDescription description = new RequestDescription(nextIdentifier(), keyHash(head), service, "POST",
				"/v1/chat/completions", prompt.length() / CHARACTERS_PER_TOKEN + 1, chat.tokens(),
				PromptPrefixes.hashes(prompt), priority(head), deadline(head), Optional.empty(),
				ContentHashes.fingerprint(service, "POST", body));
		return new CallerCall(description, prompt, chat.stream(), "", Optional.empty(), Optional.empty(), "");
	}

	CallerCall plain(HttpRequestMetaData head, String body) {
		String rest = head.path().substring(SERVICES_PREFIX.length());
		int slash = rest.indexOf('/');
		ServiceName service = serviceName((slash < 0) ? rest : rest.substring(0, slash));
		String path = (slash < 0) ? "/" : rest.substring(slash);
		String method = head.method().name();
		String keyHash = keyHash(head);
		Optional<String> key = idempotencyKey(head);
		Optional<OrderKey> orderKey = key.map((text) -> ContentHashes.orderKey(keyHash, service, text));
		String query = (head.rawQuery() != null) ? "?" + head.rawQuery() : "";
		RequestDescription description = new RequestDescription(nextIdentifier(), keyHash, service, method, path, 0, 0,
				List.of(), priority(head), deadline(head), orderKey,
				ContentHashes.fingerprint(service, method, path + query + "\n" + body));
		return new CallerCall(description, "", false, path + query, header(head, "Content-Type"), key, body);
	}

	/**
	 * Issues an order number, which the caller may send as the idempotency key of one
	 * order. It needs no platform.
	 * @return the JSON body
	 */
	String orderNumberBody() {
		String number = OrderNumbers.issue(this.self, this.clock.instant(), this.random.nextLong());
		return "{\"orderNumber\": \"" + number + "\"}\n";
	}

	private ChatRequestBody chatBody(String body) {
		ChatRequestBody chat;
		try {
			chat = this.json.readValue(body, ChatRequestBody.class);
		}
		catch (JsonProcessingException ex) {
			throw BadRequestException.of("the body is not a chat completion: " + ex.getOriginalMessage());
		}
		if (chat == null || chat.messages() == null || chat.messages().isEmpty()) {
			throw BadRequestException.of("the body needs 'messages' with at least one message");
		}
		if (chat.messages().stream().anyMatch((message) -> message == null || message.content() == null)) {
			throw BadRequestException.of("each message needs 'content' as text");
		}
		if (chat.tokens() < 1 || chat.tokens() > MOST_TOKENS) {
			throw BadRequestException.of("'max_tokens' must be from 1 to " + MOST_TOKENS + ", not " + chat.tokens());
		}
		return chat;
	}

	private RequestIdentifier nextIdentifier() {
		return RequestIdentifier.of(this.self, this.requests.incrementAndGet());
	}

	private static ServiceName serviceName(String text) {
		try {
			return ServiceName.of(text);
		}
		catch (IllegalArgumentException ex) {
			throw BadRequestException.of("the service's name can't be used: " + ex.getMessage());
		}
	}

	private static String keyHash(HttpRequestMetaData head) {
		return header(head, "Authorization").filter((text) -> text.startsWith(BEARER))
			.map((text) -> WorkspaceKeys.hash(text.substring(BEARER.length()).strip()))
			.orElse("");
	}

	private static Optional<String> idempotencyKey(HttpRequestMetaData head) {
		Optional<String> key = header(head, "Idempotency-Key").map(String::strip);
		if (key.isPresent() && (key.get().isEmpty() || key.get().length() > LONGEST_KEY)) {
			throw BadRequestException.of("'Idempotency-Key' must have 1 to " + LONGEST_KEY + " characters");
		}
		return key;
	}

	private static Priority priority(HttpRequestMetaData head) {
		Optional<String> text = header(head, "Priority");
		if (text.isEmpty()) {
			return Priority.NORMAL;
		}
		try {
			return Priority.valueOf(text.get().strip().toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw BadRequestException.of("'Priority' must be high, normal or low, not '" + text.get() + "'");
		}
	}

	private Instant deadline(HttpRequestMetaData head) {
		return this.clock.instant()
			.plus(header(head, "Request-Timeout").map(CallerRequestReader::timeout).orElse(DEFAULT_TIMEOUT));
	}

	private static Duration timeout(String text) {
		try {
			Duration timeout = Duration.ofMillis((long) (Double.parseDouble(text.strip()) * 1000));
			if (!timeout.isNegative() && !timeout.isZero() && timeout.compareTo(LONGEST_TIMEOUT) <= 0) {
				return timeout;
			}
		}
		catch (NumberFormatException ex) {
			throw BadRequestException.of("'Request-Timeout' must be seconds, not '" + text + "'");
		}
		throw BadRequestException
			.of("'Request-Timeout' must be above 0 and at most " + LONGEST_TIMEOUT.toSeconds() + " seconds");
	}

	private static Optional<String> header(HttpRequestMetaData head, String name) {
		return Optional.ofNullable(head.headers().get(name)).map(CharSequence::toString);
	}

}
