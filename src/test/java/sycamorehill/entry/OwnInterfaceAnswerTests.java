package sycamorehill.entry;

import java.io.OutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.engine.HttpPlainService;
import sycamorehill.engine.PlainCall;
import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpClientPool;
import sycamorehill.model.request.RecordedAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of plain services that answer the product's own interface twice.
 */
class OwnInterfaceAnswerTests {

	private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

	private static final String FAILURE = "HTTP/1.1 500 Error\r\nContent-Length: 6\r\n\r\nfailed";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final HttpClientPool clients = HttpClientPool.createWithoutReuse(TIMEOUT);

	private final Set<OutputStream> usedConnections = ConcurrentHashMap.newKeySet();

	@AfterEach
	void end() {
		this.clients.close();
	}

	private Optional<RecordedAnswer> ask(RawTarget service, String path) {
		PlainCall call = new PlainCall("GET", path, Optional.empty(), Optional.empty(), Optional.empty(), TIMEOUT);
		return HttpPlainService.create(BufferedHttpClient.create(this.clients))
			.send(service.address(), call)
			.join()
			.answer();
	}

	// Guards against a success where the service answered with a failure.
	@ParameterizedTest
	@ValueSource(strings = { SUCCESS, "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX: a" })
	void whatIsLeftOfAnEarlierAnswerIsNotTakenForTheNextOne(String left) throws Exception {
		try (RawTarget service = RawTarget.start((request, out) -> {
			if (!this.usedConnections.add(out)) {
				RawTarget.write(out, left);
			}
			RawTarget.write(out, request.startsWith("GET /one") ? SUCCESS : FAILURE);
			return true;
		})) {
			assertThat(ask(service, "/one").map(RecordedAnswer::status)).contains(200);
			assertThat(ask(service, "/two").map(RecordedAnswer::status)).isNotEqualTo(Optional.of(200));
		}
	}

}
