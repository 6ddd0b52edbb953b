package sycamorehill.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;

import sycamorehill.entry.CallAnswer;
import sycamorehill.entry.CallClient;
import sycamorehill.entry.CallFailedException;
import sycamorehill.entry.EnginePort;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.TargetAddress;

/**
 * Orders to the platform's engines, and their reports.
 */
final class PlatformEngines implements EnginePort {

	private static final String ORDERS = "/-/order";

	private static final String REPORTS = "/-/report";

	/**
	 * Bound on an order with its connection. Engines answer orders at once.
	 */
	private static final Duration TIMEOUT = Duration.ofMillis(900);

	/**
	 * A report is asked for to find lost engines: waiting for it is downtime of a group.
	 */
	private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

	private final CallClient client;

	private final ObjectMapper json;

	private PlatformEngines(CallClient client, ObjectMapper json) {
		this.client = client;
		this.json = json;
	}

	static PlatformEngines of(CallClient client, ObjectMapper json) {
		return new PlatformEngines(client, json);
	}

	@Override
	public CompletableFuture<EngineCommandAnswer> sendCommand(TargetAddress engine, EngineCommandRequest order,
			long ordersAccepted) {
		ObjectNode body = body(order);
		if (ordersAccepted != EntryEffect.SendCommand.ANY_COUNT) {
			body.put("expected", ordersAccepted);
		}
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		return this.client.call(new CallClient.Call(engine, HttpMethod.POST, ORDERS, bytes), expected(engine), TIMEOUT)
			.thenApply((answer) -> orderAnswer(answer.status()))
			.exceptionally(PlatformEngines::unanswered);
	}

	private static CallClient.Header expected(TargetAddress engine) {
		return new CallClient.Header(PlatformHeaders.EXPECT_INSTANCE, engine.name().value());
	}

	private ObjectNode body(EngineCommandRequest order) {
		ObjectNode body = this.json.createObjectNode();
		if (order instanceof EngineCommandRequest.Join join) {
			group(body, "join", join.group(), join.epoch()).put("model", join.model());
			ArrayNode members = body.putArray("members");
			join.members().forEach((member) -> members.add(member.value()));
		}
		else if (order instanceof EngineCommandRequest.Open open) {
			group(body, "open", open.group(), open.epoch());
		}
		else if (order instanceof EngineCommandRequest.Close close) {
			group(body, "close", close.group(), close.epoch()).put("close_mode", "queue");
		}
		else if (order instanceof EngineCommandRequest.Leave leave) {
			group(body, "leave", leave.group(), leave.epoch());
		}
		else if (order instanceof EngineCommandRequest.Stage stage) {
			body.put("operation", "stage").put("model", stage.model());
		}
		return body;
	}

	private static ObjectNode group(ObjectNode body, String operation, String group, long epoch) {
		return body.put("operation", operation).put("group", group).put("epoch", epoch);
	}

	private static EngineCommandAnswer orderAnswer(int status) {
		return switch (status) {
			case 202 -> EngineCommandAnswer.BEGUN;
			case 200 -> EngineCommandAnswer.HOLDS_ALREADY;
			case 409 -> EngineCommandAnswer.CONFLICT;
			case 412 -> EngineCommandAnswer.OUTDATED;
			case 421 -> EngineCommandAnswer.OTHER_TARGET;
			case 400 -> EngineCommandAnswer.UNSUPPORTED;
			default -> EngineCommandAnswer.NOT_KNOWN;
		};
	}

	private static EngineCommandAnswer unanswered(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean nothing = cause instanceof CallFailedException failed
				&& failed.failureCause() == CallFailedException.Cause.NOTHING_LISTENS;
		return nothing ? EngineCommandAnswer.NOTHING_LISTENS : EngineCommandAnswer.NOT_KNOWN;
	}

	@Override
	public CompletableFuture<EngineReport> readReport(TargetAddress engine) {
		return this.client.call(CallClient.Call.get(engine, REPORTS), expected(engine), REPORT_TIMEOUT)
			.handle((answer, failure) -> {
				if (failure != null) {
					throw new CompletionException(new ReportUnavailableException(unanswered(failure)));
				}
				return report(answer);
			});
	}

	private EngineReport report(CallAnswer answer) {
		try {
			if (answer.status() == 200) {
				return TargetDecoder.report(this.json.readTree(answer.body()));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CompletionException(new ReportUnavailableException(EngineCommandAnswer.NOT_KNOWN));
		}
		throw new CompletionException(new ReportUnavailableException(orderAnswer(answer.status())));
	}

}
