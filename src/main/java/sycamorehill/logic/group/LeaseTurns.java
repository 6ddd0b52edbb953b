package sycamorehill.logic.group;

import java.util.Optional;

import sycamorehill.logic.group.LeaseState.LeaseAttempt;
import sycamorehill.logic.observation.Rendezvous;
import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.platform.PlatformRequest;

/**
 * The calls about the controller's lease.
 */
final class LeaseTurns {

	private LeaseTurns() {
	}

	static void tick(GroupTurn turn, boolean steward) {
		LeaseState lease = turn.state().lease();
		if (lease.holds(turn.now()) && !steward) {
			giveBack(turn);
			return;
		}
		LeaseKeeper.due(lease, turn.now(), turn.view().self(), steward, turn.policy())
			.ifPresent((request) -> call(turn, request));
	}

	static void giveBack(GroupTurn turn) {
		LeaseState lease = turn.state().lease();
		if (lease.holds(turn.now()) && !turn.state().isPending(PendingCall.Purpose.WRITE_LEASE)) {
			call(turn, LeaseKeeper.giveBack(lease, turn.view().self()));
		}
	}

	static void read(GroupTurn turn, PlatformEvent.Answered answered) {
		LeaseState before = turn.state().lease();
		LeaseState lease = LeaseKeeper.read(before, turn.now(), answered.answer());
		turn.change(turn.state().withLease(lease));
		if (lease == before || turn.state().stopping() || !Rendezvous.isSteward(turn.view())) {
			return;
		}
		LeaseKeeper.write(lease, turn.now(), turn.view().self(), turn.policy())
			.ifPresent((request) -> call(turn, request));
	}

	static void written(GroupTurn turn, PlatformEvent.Answered answered) {
		LeaseState before = turn.state().lease();
		LeaseState lease = LeaseKeeper.written(before, turn.now(), answered.answer());
		turn.change(turn.state().withLease(lease));
		if (lease.holds(turn.now()) && !before.holds(turn.now())) {
			turn.log(LogEvent.GROUP_CONTROL_TAKEN, turn.view().self().dataCentre() + ", " + lease.fencingNumber());
		}
	}

	private static void call(GroupTurn turn, PlatformRequest request) {
		PendingCall.Purpose purpose = (request instanceof PlatformRequest.Read) ? PendingCall.Purpose.READ_LEASE
				: PendingCall.Purpose.WRITE_LEASE;
		if (!turn.call(purpose, request)) {
			return;
		}
		LeaseState lease = turn.state().lease().withNextAt(turn.now().plus(turn.policy().leaseRenewal()));
		LeaseState attempted = written(request).map((value) -> lease.withAttempt(new LeaseAttempt(value, turn.now())))
			.orElse(lease);
		turn.change(turn.state().withLease(attempted));
	}

	private static Optional<ControllerLease> written(PlatformRequest request) {
		if (request instanceof PlatformRequest.Create create) {
			return Optional.of((ControllerLease) create.value());
		}
		if (request instanceof PlatformRequest.Update update) {
			return Optional.of((ControllerLease) update.value());
		}
		return Optional.empty();
	}

}
