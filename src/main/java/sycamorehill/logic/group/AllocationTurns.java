package sycamorehill.logic.group;

import java.time.Duration;

import org.pcollections.PMap;

import sycamorehill.model.event.PlatformEvent;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.identity.GroupName;
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

	// Only the stewards read the allocation: the calls must not grow with the nodes. The
	// others hear from the stewards which groups serve.
	static void tick(GroupTurn turn, boolean steward) {
		if (steward && !turn.now().isBefore(turn.state().allocation().nextReadAt())) {
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
		AllocationState read = state;
		if (answered.answer() instanceof PlatformAnswer.Found found
				&& found.object().value() instanceof Allocation allocation) {
			read = state.confirmed(allocation, found.object().version(), answered.sentAt());
		}
		else if (answered.answer() instanceof PlatformAnswer.Missing) {
			read = state.confirmed(Allocation.empty(turn.view().self().dataCentre()), 0, answered.sentAt());
		}
		boolean own = state.attempt().isPresent() && read.known().equals(state.attempt());
		if (own) {
			logChanges(turn, state);
		}
		// A read that overtakes an own write does not settle it.
		boolean writing = turn.state().isPending(PendingCall.Purpose.WRITE_ALLOCATION);
		turn.change(turn.state()
			.withAllocation((writing && state.attempt().isPresent()) ? read.withAttempt(state.attempt().get()) : read));
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
			logChanges(turn, state);
			turn.change(turn.state()
				.withAllocation(state.confirmed(state.attempt().get(), written.version(), answered.sentAt())));
		}
		else if (answered.answer() instanceof PlatformAnswer.NotTaken notTaken) {
			// Failure: the platform refuses at once, and the next decision writes at once
			// again: thousands of calls a second at a platform that asks for fewer.
			Duration wait = notTaken.retryAfter().plus(turn.policy().decisionInterval());
			turn.change(turn.state().withAllocation(state.withoutAttempt()).withNextDecisionAt(turn.now().plus(wait)));
		}
		else {
			// Failure: the answer is lost although the write took effect. The read that
			// follows shows whose mark the allocation carries; until then nothing is
			// decided, and a write that takes effect even later fails on its condition.
			turn.log(LogEvent.GROUP_ALLOCATION_CONFLICT, answered.answer().toString());
			readNow(turn);
		}
	}

	private static void logChanges(GroupTurn turn, AllocationState state) {
		PMap<GroupName, GroupRecord> before = state.known().orElseThrow().groups();
		PMap<GroupName, GroupRecord> next = state.attempt().orElseThrow().groups();
		for (GroupRecord record : next.values()) {
			if (!record.equals(before.get(record.identity().name()))) {
				turn.log(LogEvent.GROUP_CHANGED, record.identity().name() + " generation "
						+ record.identity().generation() + " " + record.phase() + ": " + record.reason());
			}
		}
		for (GroupRecord record : before.values()) {
			if (!next.containsKey(record.identity().name())) {
				turn.log(LogEvent.GROUP_CHANGED, record.identity().name() + " generation "
						+ record.identity().generation() + " given up: " + record.reason());
			}
		}
	}

	private static ObjectKey key(GroupTurn turn) {
		return ObjectKey.of(ObjectKind.ALLOCATION, turn.view().self().dataCentre().value());
	}

}
