package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.OrderKey;
import sycamorehill.model.request.Priority;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.IdempotencyRule;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Requests, services and workspaces that several tests use.
 */
public final class RequestFixtures {

	public static final ServiceName CHAT = ServiceName.of("chat");

	public static final ServiceName PLAIN = ServiceName.of("desk");

	public static final ServiceItem CHAT_SERVICE = ServiceItem.model(CHAT, "model", "1");

	public static final ServiceItem PLAIN_SERVICE = ServiceItem.plain(PLAIN, List.of(),
			List.of(new IdempotencyRule("GET", "/", true)));

	private static final int PROMPT_TOKENS = 20;

	private static final int ANSWER_TOKENS = 80;

	private RequestFixtures() {
	}

	public static WorkspaceItem workspace(String name, double requestsPerSecond, int inFlight, int weight) {
		return new WorkspaceItem(WorkspaceName.of(name), "key-" + name, requestsPerSecond, 1e9, inFlight, weight);
	}

	public static RequestDescription chat(long number, String workspace, Instant now) {
		return chat(number, workspace, Priority.NORMAL, now.plus(Duration.ofSeconds(10)));
	}

	public static RequestDescription chat(long number, String workspace, Priority priority, Instant deadline) {
		return describe(number, workspace, CHAT, "POST", priority, deadline, Optional.empty());
	}

	public static RequestDescription order(long number, String workspace, String method, Optional<OrderKey> key) {
		return describe(number, workspace, PLAIN, method, Priority.NORMAL, Instant.EPOCH.plusSeconds(100), key);
	}

	private static RequestDescription describe(long number, String workspace, ServiceName service, String method,
			Priority priority, Instant deadline, Optional<OrderKey> key) {
		RequestIdentifier identifier = RequestIdentifier.of(NodeIncarnation.of(NodeName.of("n"), 1), number);
		return new RequestDescription(identifier, "key-" + workspace, service, method, "/", PROMPT_TOKENS,
				ANSWER_TOKENS, List.of(), priority, deadline, key, new Fingerprint("f" + number));
	}

}
