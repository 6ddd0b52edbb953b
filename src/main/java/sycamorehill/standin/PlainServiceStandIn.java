package sycamorehill.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpRequest;

import sycamorehill.model.identity.Address;
import sycamorehill.model.ticket.PlainTarget;

/**
 * One target of a plain service: it records each run, so that doubled ones show.
 */
public final class PlainServiceStandIn implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Duration ACCEPTS_WHILE_LEAVING = Duration.ofSeconds(5);

	private static final String POISON = "POISON";

	private final String name;

	private final StandInServer server;

	private final Map<RunKey, Integer> runs = new LinkedHashMap<>();

	private FaultOrder losing;

	private RandomGenerator draws;

	private boolean leaving;

	private long leavingSince;

	private PlainServiceStandIn(String name, String host) {
		this.name = name;
		this.server = StandInServer.open(host, 0, this::handle);
	}

	static PlainServiceStandIn start(String name, String host) {
		return new PlainServiceStandIn(name, host);
	}

	/**
	 * Where the target listens.
	 * @return the address
	 */
	public Address address() {
		return this.server.address();
	}

	/**
	 * What the target has run.
	 * @return each call with how often it ran
	 */
	public synchronized List<Run> runs() {
		return this.runs.entrySet()
			.stream()
			.map((entry) -> new Run(entry.getKey().idempotencyKey(), entry.getKey().bodyHash(), entry.getValue()))
			.toList();
	}

	@Override
	public void close() {
		this.server.close();
	}

	synchronized boolean fault(FaultOrder order) {
		switch (order.fault()) {
			case "crash" -> this.server.close();
			case "restart" -> restart();
			case "lose-answers" -> {
				this.losing = order;
				this.draws = order.draws();
			}
			case "leave" -> {
				this.leaving = true;
				this.leavingSince = System.nanoTime();
			}
			case FaultOrder.CLEAR -> {
				this.losing = null;
			}
			default -> {
				return false;
			}
		}
		return true;
	}

	private void restart() {
		this.server.close();
		this.losing = null;
		this.leaving = false;
		this.server.reopen();
	}

	private CompletionStage<Reply> handle(HttpRequest request) {
		return CompletableFuture.completedFuture(reply(request));
	}

	private synchronized Reply reply(HttpRequest request) {
		if (request.path().equals("/stand-in/runs")) {
			return runsAsJson();
		}
		if (this.leaving && System.nanoTime() - this.leavingSince > ACCEPTS_WHILE_LEAVING.toNanos()) {
			return Reply.notRun(503, "leaving").with("Leaving", "true");
		}
		String body = request.payloadBody().toString(StandardCharsets.UTF_8);
		String hash = Long.toHexString(Hashing.xxh3_64().hashCharsToLong(body));
		String key = String.valueOf(request.headers().get("Idempotency-Key", ""));
		int count = this.runs.merge(new RunKey(key, hash), 1, Integer::sum);
		if (body.contains(POISON)) {
			this.server.close();
			return Reply.lost();
		}
		if (this.losing != null && this.draws.nextDouble() < this.losing.share()) {
			return Reply.lost();
		}
		return Reply.json(200, "{\"target\": \"" + this.name + "\", \"bodyHash\": \"" + hash + "\", \"run\": " + count
				+ ", \"method\": \"" + request.method().name() + "\"}");
	}

	private Reply runsAsJson() {
		try {
			return Reply.json(200, "{\"runs\": " + JSON.writeValueAsString(runs()) + "}");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("runs can't be written", ex);
		}
	}

	private record RunKey(String idempotencyKey, String bodyHash) {

	}

	/**
	 * A call and how often it ran.
	 *
	 * @param idempotencyKey its idempotency key, empty if it had none
	 * @param bodyHash hash of its body in hex
	 * @param count how often it ran
	 */
	public record Run(String idempotencyKey, String bodyHash, int count) {

	}

	/**
	 * A target and the stand-in behind it.
	 *
	 * @param place name, data centre and address
	 * @param standIn the stand-in
	 */
	record Placed(PlainTarget place, PlainServiceStandIn standIn) {

	}

}
