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
 * Reads and writes the allocation and handles the answers of the platform.
 */
final class AllocationCalls {

	private AllocationCalls() {
	}

	// Only stewards read the allocation, so that the number of calls does not grow with
	// the number of nodes. The other nodes receive the serving groups from the stewards.
	static void tick(GroupStep step, boolean steward) {
		if (steward && !step.now().isBefore(step.state().allocation().nextReadAt())) {
			requestRead(step);
		}
	}

	/**
	 * Reads the allocation from the platform, unless a read is already pending.
	 * @param step the current step
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
		// The answer to a read does not show the result of a write that is still pending.
		boolean isWriting = step.state().isPending(PendingCall.Purpose.WRITE_ALLOCATION);
		step.update(step.state()
			.withAllocation(
					(isWriting && state.attempt().isPresent()) ? read.withAttempt(state.attempt().get()) : read));
	}

	/**
	 * Writes the allocation on condition that the stored version is still the one that
	 * was read.
	 * @param step the current step
	 * @param next the new allocation
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
			// Without this delay the next decision would write again at once, and a
			// platform that asks for fewer calls would receive thousands per second.
			Duration wait = notTaken.retryAfter().plus(step.policy().decisionInterval());
			step.update(step.state().withAllocation(state.withoutAttempt()).withNextDecisionAt(step.now().plus(wait)));
		}
		else {
			// The write may have taken effect although its answer was lost. The read that
			// follows shows whose mark the stored allocation carries. Nothing is decided
			// until then, and a write that takes effect even later fails on its version
			// condition.
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
						+ record.identity().generation() + " removed: " + record.reason());
			}
		}
	}

	private static ObjectKey key(GroupStep step) {
		return ObjectKey.of(ObjectKind.ALLOCATION, step.view().self().dataCentre().value());
	}

}
