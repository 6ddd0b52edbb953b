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
 * Sends commands to the platform's engines and reads their reports.
 */
final class PlatformEngineClient implements EnginePort {

	private static final String COMMAND_PATH = "/-/order";

	static final String REPORT_PATH = "/-/report";

	/**
	 * Timeout of a command, including the time to connect. Engines answer commands
	 * immediately.
	 */
	private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(900);

	/**
	 * Timeout of a report. Reports are requested to detect unreachable engines, so that
	 * the wait adds to the downtime of a group.
	 */
	private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

	private final CallClient client;

	private final ObjectMapper json;

	private PlatformEngineClient(CallClient client, ObjectMapper json) {
		this.client = client;
		this.json = json;
	}

	static PlatformEngineClient of(CallClient client, ObjectMapper json) {
		return new PlatformEngineClient(client, json);
	}

	@Override
	public CompletableFuture<EngineCommandAnswer> sendCommand(TargetAddress engine, EngineCommandRequest command,
			long acceptedCommands) {
		ObjectNode body = commandBody(command);
		if (acceptedCommands != EntryEffect.SendCommand.ANY_COUNT) {
			body.put("expected", acceptedCommands);
		}
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		return this.client
			.call(CallClient.Call.of(engine, HttpMethod.POST, COMMAND_PATH, bytes).toEngine(), expectedInstance(engine),
					COMMAND_TIMEOUT)
			.thenApply((answer) -> commandAnswer(answer.status()))
			.exceptionally(PlatformEngineClient::failureAnswer);
	}

	private static CallClient.Header expectedInstance(TargetAddress engine) {
		return new CallClient.Header(PlatformHeaders.EXPECTED_INSTANCE, engine.name().value());
	}

	private ObjectNode commandBody(EngineCommandRequest command) {
		ObjectNode body = this.json.createObjectNode();
		if (command instanceof EngineCommandRequest.Join join) {
			putGroupOperation(body, "join", join.group(), join.epoch()).put("model", join.model());
			ArrayNode members = body.putArray("members");
			join.members().forEach((member) -> members.add(member.value()));
		}
		else if (command instanceof EngineCommandRequest.Open open) {
			putGroupOperation(body, "open", open.group(), open.epoch());
		}
		else if (command instanceof EngineCommandRequest.Close close) {
			putGroupOperation(body, "close", close.group(), close.epoch()).put("close_mode", "queue");
		}
		else if (command instanceof EngineCommandRequest.Leave leave) {
			putGroupOperation(body, "leave", leave.group(), leave.epoch());
		}
		else if (command instanceof EngineCommandRequest.Stage stage) {
			body.put("operation", "stage").put("model", stage.model());
		}
		return body;
	}

	private static ObjectNode putGroupOperation(ObjectNode body, String operation, String group, long epoch) {
		return body.put("operation", operation).put("group", group).put("epoch", epoch);
	}

	private static EngineCommandAnswer commandAnswer(int status) {
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

	private static EngineCommandAnswer failureAnswer(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (!(cause instanceof CallFailedException failed)) {
			return EngineCommandAnswer.NOT_KNOWN;
		}
		return switch (failed.failureCause()) {
			case NOTHING_LISTENS -> EngineCommandAnswer.NOTHING_LISTENS;
			case NOT_CONNECTED -> EngineCommandAnswer.NOT_CONNECTED;
			case NO_ANSWER -> EngineCommandAnswer.NOT_KNOWN;
		};
	}

	@Override
	public CompletableFuture<EngineReport> readReport(TargetAddress engine) {
		return this.client
			.call(CallClient.Call.get(engine, REPORT_PATH).toEngine(), expectedInstance(engine), REPORT_TIMEOUT)
			.handle((answer, failure) -> {
				if (failure != null) {
					throw new CompletionException(new ReportUnavailableException(failureAnswer(failure)));
				}
				return report(answer);
			});
	}

	private EngineReport report(CallAnswer answer) {
		try {
			if (answer.status() == 200) {
				return TargetDecoder.decodeReport(this.json.readTree(answer.body()));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CompletionException(new ReportUnavailableException(EngineCommandAnswer.NOT_KNOWN));
		}
		throw new CompletionException(new ReportUnavailableException(commandAnswer(answer.status())));
	}

}
