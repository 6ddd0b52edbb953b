package sycamorehill.logic.group;

import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;

/**
 * The calls about the allocation.
 */
final class AllocationTurns {

	private AllocationTurns() {
	}

	static void tick(GroupTurn turn) {
		if (!turn.now().isBefore(turn.state().allocation().nextReadAt())) {
			readNow(turn);
		}
	}

	/**
	 * Reads the allocation live.
	 * @param turn the step
	 */
	static void readNow(GroupTurn turn) {
		if (turn.call(PendingCall.Purpose.READ_ALLOCATION, new PlatformRequest.Read(key(turn)))) {
			turn.change(turn.state()
				.withAllocation(
						turn.state().allocation().withNextReadAt(turn.now().plus(turn.policy().allocationInterval()))));
		}
	}

	static void read(GroupTurn turn, PlatformEvent.Answered answered) {
		AllocationState state = turn.state().allocation();
		if (answered.answer() instanceof PlatformAnswer.Found found
				&& found.object().value() instanceof Allocation allocation) {
			turn.change(turn.state()
				.withAllocation(state.confirmed(allocation, found.object().version(), answered.sentAt())));
		}
		else if (answered.answer() instanceof PlatformAnswer.Missing) {
			Allocation empty = Allocation.empty(turn.view().self().dataCentre());
			turn.change(turn.state().withAllocation(state.confirmed(empty, 0, answered.sentAt())));
		}
	}

	/**
	 * Writes the allocation under the condition that it is still the one that was read.
	 * @param turn the step
	 * @param next the allocation as it is to be
	 */
	static void write(GroupTurn turn, Allocation next) {
		AllocationState state = turn.state().allocation();
		PlatformRequest request = (state.version() == 0) ? new PlatformRequest.Create(key(turn), next)
				: new PlatformRequest.Update(key(turn), next, state.version());
		if (turn.call(PendingCall.Purpose.WRITE_ALLOCATION, request)) {
			turn.change(turn.state().withAllocation(turn.state().allocation().withAttempt(next)));
		}
	}

	static void written(GroupTurn turn, PlatformEvent.Answered answered) {
		AllocationState state = turn.state().allocation();
		if (state.attempt().isEmpty()) {
			return;
		}
		if (answered.answer() instanceof PlatformAnswer.Written written) {
			turn.change(turn.state()
				.withAllocation(state.confirmed(state.attempt().get(), written.version(), answered.sentAt())));
		}
		else if (answered.answer() instanceof PlatformAnswer.NotTaken) {
			turn.change(turn.state().withAllocation(state.withoutAttempt()));
		}
		else {
			// Failure: the answer is lost although the write took effect. The read that
			// follows shows whose mark the allocation carries; until then nothing is
			// decided, and a write that takes effect even later fails on its condition.
			turn.log(LogEvent.GROUP_ALLOCATION_CONFLICT, answered.answer().toString());
			readNow(turn);
		}
	}

	private static ObjectKey key(GroupTurn turn) {
		return ObjectKey.of(ObjectKind.ALLOCATION, turn.view().self().dataCentre().value());
	}

}
