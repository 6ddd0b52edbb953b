package sycamorehill.logic.group;

import java.util.Optional;

import sycamorehill.logic.group.LeaseState.LeaseAttempt;
import sycamorehill.logic.observation.Rendezvous;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.platform.PlatformRequest;

/**
 * Reads and writes the lease of the controller and handles the answers of the platform.
 */
final class ControllerLeaseCalls {

	private ControllerLeaseCalls() {
	}

	static void tick(GroupStep step, boolean steward) {
		LeaseState lease = step.state().lease();
		if (lease.isHeld(step.now()) && !steward) {
			release(step);
			return;
		}
		ControllerLeaseManager.dueRequest(lease, step.now(), step.view().self(), steward, step.policy())
			.ifPresent((request) -> call(step, request));
	}

	static void release(GroupStep step) {
		LeaseState lease = step.state().lease();
		if (lease.isHeld(step.now()) && !step.state().isPending(PendingCall.Purpose.WRITE_LEASE)) {
			call(step, ControllerLeaseManager.releaseRequest(lease, step.view().self()));
		}
	}

	static void handleRead(GroupStep step, PlatformEvent.Answered answered) {
		LeaseState before = step.state().lease();
		LeaseState lease = ControllerLeaseManager.applyRead(before, step.now(), answered.answer());
		step.update(step.state().withLease(lease));
		if (lease == before || step.state().stopping() || !Rendezvous.isSteward(step.view())) {
			return;
		}
		ControllerLeaseManager.writeRequest(lease, step.now(), step.view().self(), step.policy())
			.ifPresent((request) -> call(step, request));
	}

	static void handleWrite(GroupStep step, PlatformEvent.Answered answered) {
		LeaseState before = step.state().lease();
		LeaseState lease = ControllerLeaseManager.applyWrite(before, step.now(), answered.answer());
		step.update(step.state().withLease(lease));
		if (lease.isHeld(step.now()) && !before.isHeld(step.now())) {
			step.log(LogEvent.GROUP_CONTROL_TAKEN, step.view().self().dataCentre() + ", " + lease.fencingNumber());
		}
	}

	private static void call(GroupStep step, PlatformRequest request) {
		PendingCall.Purpose purpose = (request instanceof PlatformRequest.Read) ? PendingCall.Purpose.READ_LEASE
				: PendingCall.Purpose.WRITE_LEASE;
		if (!step.callPlatform(purpose, request)) {
			return;
		}
		LeaseState lease = step.state().lease().withNextAt(step.now().plus(step.policy().leaseRenewal()));
		LeaseState attempted = writtenLease(request)
			.map((value) -> lease.withAttempt(new LeaseAttempt(value, step.now())))
			.orElse(lease);
		step.update(step.state().withLease(attempted));
	}

	private static Optional<ControllerLease> writtenLease(PlatformRequest request) {
		if (request instanceof PlatformRequest.Create create) {
			return Optional.of((ControllerLease) create.value());
		}
		if (request instanceof PlatformRequest.Update update) {
			return Optional.of((ControllerLease) update.value());
		}
		return Optional.empty();
	}

}
