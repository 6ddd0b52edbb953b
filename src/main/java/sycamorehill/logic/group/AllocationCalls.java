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
final class AllocationCalls {

	private AllocationCalls() {
	}

	// Only the stewards read the allocation: the calls must not grow with the nodes. The
	// others hear from the stewards which groups serve.
	static void tick(GroupStep step, boolean steward) {
		if (steward && !step.now().isBefore(step.state().allocation().nextReadAt())) {
			requestRead(step);
		}
	}

	/**
	 * Reads the allocation live.
	 * @param step the step
	 */
	static void requestRead(GroupStep step) {
		if (step.callPlatform(PendingCall.Purpose.READ_ALLOCATION, new PlatformRequest.Read(key(step)))) {
			step.update(step.state()
				.withAllocation(
						step.state().allocation().withNextReadAt(step.now().plus(step.policy().allocationInterval()))));
		}
	}

	static void handleRead(GroupStep step, PlatformEvent.Answered answered) {
		AllocationState state = step.state().allocation();
		AllocationState read = state;
		if (answered.answer() instanceof PlatformAnswer.Found found
				&& found.object().value() instanceof Allocation allocation) {
			read = state.withConfirmed(allocation, found.object().version(), answered.sentAt());
		}
		else if (answered.answer() instanceof PlatformAnswer.Missing) {
			read = state.withConfirmed(Allocation.empty(step.view().self().dataCentre()), 0, answered.sentAt());
		}
		boolean isOwnWrite = state.attempt().isPresent() && read.known().equals(state.attempt());
		if (isOwnWrite) {
			logChanges(step, state);
		}
		// A read that overtakes an own write does not settle it.
		boolean isWriting = step.state().isPending(PendingCall.Purpose.WRITE_ALLOCATION);
		step.update(step.state()
			.withAllocation(
					(isWriting && state.attempt().isPresent()) ? read.withAttempt(state.attempt().get()) : read));
	}

	/**
	 * Writes the allocation under the condition that it is still the one that was read.
	 * @param step the step
	 * @param next the allocation as it is to be
	 */
	static void write(GroupStep step, Allocation next) {
		AllocationState state = step.state().allocation();
		PlatformRequest request = (state.version() == 0) ? new PlatformRequest.Create(key(step), next)
				: new PlatformRequest.Update(key(step), next, state.version());
		if (step.callPlatform(PendingCall.Purpose.WRITE_ALLOCATION, request)) {
			step.update(step.state().withAllocation(step.state().allocation().withAttempt(next)));
		}
	}

	static void handleWrite(GroupStep step, PlatformEvent.Answered answered) {
		AllocationState state = step.state().allocation();
		if (state.attempt().isEmpty()) {
			return;
		}
		if (answered.answer() instanceof PlatformAnswer.Written written) {
			logChanges(step, state);
			step.update(step.state()
				.withAllocation(state.withConfirmed(state.attempt().get(), written.version(), answered.sentAt())));
		}
		else if (answered.answer() instanceof PlatformAnswer.NotTaken notTaken) {
			// Failure: the platform refuses at once, and the next decision writes at once
			// again: thousands of calls a second at a platform that asks for fewer.
			Duration wait = notTaken.retryAfter().plus(step.policy().decisionInterval());
			step.update(step.state().withAllocation(state.withoutAttempt()).withNextDecisionAt(step.now().plus(wait)));
		}
		else {
			// Failure: the answer is lost although the write took effect. The read that
			// follows shows whose mark the allocation carries; until then nothing is
			// decided, and a write that takes effect even later fails on its condition.
			step.log(LogEvent.GROUP_ALLOCATION_CONFLICT, answered.answer().toString());
			requestRead(step);
		}
	}

	private static void logChanges(GroupStep step, AllocationState state) {
		PMap<GroupName, GroupRecord> before = state.known().orElseThrow().groups();
		PMap<GroupName, GroupRecord> next = state.attempt().orElseThrow().groups();
		for (GroupRecord record : next.values()) {
			if (!record.equals(before.get(record.identity().name()))) {
				step.log(LogEvent.GROUP_CHANGED, record.identity().name() + " generation "
						+ record.identity().generation() + " " + record.phase() + ": " + record.reason());
			}
		}
		for (GroupRecord record : before.values()) {
			if (!next.containsKey(record.identity().name())) {
				step.log(LogEvent.GROUP_CHANGED, record.identity().name() + " generation "
						+ record.identity().generation() + " given up: " + record.reason());
			}
		}
	}

	private static ObjectKey key(GroupStep step) {
		return ObjectKey.of(ObjectKind.ALLOCATION, step.view().self().dataCentre().value());
	}

}
