package sycamorehill.http;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.support.CutAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers to calls over HTTP that end at each byte, by a close and by a reset.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutHttpAnswerTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int CALLERS = 16;

	private final HttpClientPool reusingPool = HttpClientPool.create(TIMEOUT);

	private final HttpClientPool pool = HttpClientPool.createWithoutReuse(TIMEOUT);

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	/** Requests of which the client has said that they were not sent. */
	private final Set<String> notSent = ConcurrentHashMap.newKeySet();

	private CutServer server;

	@BeforeAll
	void start() throws IOException {
		this.server = CutServer.start();
	}

	@AfterAll
	void close() throws IOException {
		this.server.close();
		this.pool.close();
		this.reusingPool.close();
		this.callers.shutdownNow();
	}

	// Guards against a part of an answer that counts as the whole, and against "not sent"
	// for a request that has arrived.
	@ParameterizedTest
	@EnumSource
	void aCutAnswerIsNoAnswer(CutAnswer answer) {
		List<CutAnswer.Cut> cuts = answer.cuts();
		List<CompletableFuture<List<String>>> calls = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.supplyAsync(() -> findFaults(cuts, caller), this.callers))
			.toList();
		assertThat(calls.stream().flatMap((faults) -> faults.join().stream())).isEmpty();
		assertThat(this.notSent).noneMatch(this.server::hasReceived);
	}

	private List<String> findFaults(List<CutAnswer.Cut> cuts, int caller) {
		List<String> faults = new ArrayList<>();
		for (int index = caller; index < cuts.size(); index += CALLERS) {
			CutAnswer.Cut cut = cuts.get(index);
			for (HttpClientPool clients : pools(cut)) {
				findFault(clients, cut).ifPresent((fault) -> faults.add(cut + ": " + fault));
			}
		}
		return faults;
	}

	// Each place is cut for either pool, once by a close and once by a reset.
	private List<HttpClientPool> pools(CutAnswer.Cut cut) {
		if (cut.isWhole()) {
			return List.of(this.pool, this.reusingPool);
		}
		return List.of((cut.bytes() % 2 == 0 == cut.reset()) ? this.pool : this.reusingPool);
	}

	private Optional<String> findFault(HttpClientPool clients, CutAnswer.Cut cut) {
		boolean whole = cut.isWhole() && !cut.answer().isUnframed();
		try {
			HttpAnswer received = call(clients, "GET", cut);
			boolean own = received.status() == cut.answer().status() && received.body().equals(cut.body());
			return (whole && own) ? Optional.empty() : Optional.of(received.status() + " " + received.body());
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof NotSentException) {
				this.notSent.add(cut.identifier());
				return Optional.empty();
			}
			boolean expected = !whole && !(ex.getCause() instanceof TimeoutException);
			return expected ? Optional.empty() : Optional.of(String.valueOf(ex.getCause()));
		}
	}

	private HttpAnswer call(HttpClientPool clients, String method, CutAnswer.Cut cut) {
		return BufferedHttpClient.create(clients)
			.call(HttpCall.of(this.server.address(), method, "/any", TIMEOUT)
				.withHeader(CutServer.IDENTIFIER, cut.identifier()))
			.join();
	}

	// Guards against an answer to HEAD, which needs no length, that counts as cut off.
	@Test
	void anAnswerToHeadNeedsNoLength() {
		CutAnswer.Cut head = CutAnswer.UNFRAMED.cuts()
			.stream()
			.filter((cut) -> cut.hasHead() && cut.sentBody().isEmpty() && !cut.reset())
			.findFirst()
			.orElseThrow();
		assertThat(call(this.pool, "HEAD", head).status()).isEqualTo(200);
	}

}
