package sycamorehill.logic.admission;

import java.time.Duration;
import java.util.Optional;

import sycamorehill.logic.NodeView;
import sycamorehill.model.request.Idempotency;
import sycamorehill.model.request.Refusal;
import sycamorehill.model.request.RefusalReason;
import sycamorehill.model.request.RequestDescription;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * The result of the checks that a request must pass before limits and queues apply.
 *
 * @param refusal why the request is refused, empty if it passes
 * @param workspace the workspace that sent the request, present if it passes
 * @param idempotency how often the request may be sent to targets
 */
record RequestCheck(Optional<Refusal> refusal, Optional<WorkspaceItem> workspace, Idempotency idempotency) {

	private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Checks a request against the desired state in effect.
	 * @param request the request
	 * @param view the view of the node's other parts
	 * @return the result
	 */
	static RequestCheck of(RequestDescription request, NodeView view) {
		Optional<DesiredState> desiredState = view.desiredState();
		if (desiredState.isEmpty()) {
			return refused(Refusal.of(RefusalReason.NODE_NOT_READY, "the node does not know the state in force yet",
					NOT_READY_RETRY_AFTER));
		}
		Optional<WorkspaceItem> workspace = desiredState.get().workspaceByKeyHash(request.keyHash());
		if (workspace.isEmpty()) {
			return refused(Refusal.of(RefusalReason.UNAUTHENTICATED, "the workspace key is missing or unknown"));
		}
		Optional<ServiceItem> service = desiredState.get().service(request.service());
		if (service.isEmpty()) {
			return refused(Refusal.of(RefusalReason.UNKNOWN_SERVICE, "no service " + request.service()));
		}
		if (view.isQuarantined(request.fingerprint())) {
			return refused(Refusal.of(RefusalReason.QUARANTINED, "targets that ran this content crashed"));
		}
		return new RequestCheck(Optional.empty(), workspace, idempotency(request, service.get()));
	}

	private static RequestCheck refused(Refusal refusal) {
		return new RequestCheck(Optional.of(refusal), Optional.empty(), Idempotency.ONCE_WITHOUT_KEY);
	}

	private static Idempotency idempotency(RequestDescription request, ServiceItem service) {
		if (service.isIdempotent(request.method(), request.path())) {
			return Idempotency.REPEATABLE;
		}
		return request.orderKey().isPresent() ? Idempotency.ONCE_WITH_KEY : Idempotency.ONCE_WITHOUT_KEY;
	}

}
