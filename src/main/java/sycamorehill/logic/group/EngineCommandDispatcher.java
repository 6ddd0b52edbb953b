package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.group.EngineReconciler.RequiredCommand;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.log.LogEvent;

/**
 * Sends commands to engines.
 */
final class EngineCommandDispatcher {

	private static final int MAXIMUM_DOUBLINGS = 8;

	private EngineCommandDispatcher() {
	}

	/**
	 * Sends the commands that are due. If the last read of the allocation is too old, it
	 * only starts a new read.
	 * @param step the current step
	 * @param commands the commands that the confirmed allocation requires
	 */
	static void dispatch(GroupStep step, List<RequiredCommand> commands) {
		List<RequiredCommand> due = commands.stream().filter((required) -> isDue(step, required)).toList();
		if (due.isEmpty()) {
			return;
		}
		// A holder that was paused until its lease expired must not send commands for a
		// group that another controller has removed, because engines may ignore fencing
		// numbers. So a command is based on a recent read of the allocation, and the
		// sender drops it when the window after that read has passed, even if the pause
		// falls between the two.
		Duration halfWindow = step.policy().orderWindow().dividedBy(2);
		Instant confirmedAt = step.state().allocation().confirmedAt();
		if (confirmedAt.plus(halfWindow).isBefore(step.now())) {
			AllocationCalls.requestRead(step);
			return;
		}
		Instant notAfter = confirmedAt.plus(step.policy().orderWindow());
		for (RequiredCommand required : due) {
			send(step, required, notAfter);
		}
	}

	/**
	 * Sends the commands that are due without a recent read, because the platform answers
	 * no node of the data centre: nobody can have changed the allocation meanwhile.
	 * @param step the current step
	 * @param commands the commands
	 */
	static void dispatchWithoutRead(GroupStep step, List<RequiredCommand> commands) {
		Instant notAfter = step.now().plus(step.policy().orderWindow());
		commands.stream()
			.filter((required) -> isDue(step, required))
			.forEach((required) -> send(step, required, notAfter));
	}

	private static boolean isDue(GroupStep step, RequiredCommand required) {
		LastEngineCommand last = step.state().orders().get(required.entry().name());
		return last == null || !last.order().equals(required.command()) || !step.now().isBefore(last.notBefore());
	}

	private static void send(GroupStep step, RequiredCommand required, Instant notAfter) {
		VmName vm = required.entry().name();
		LastEngineCommand previous = step.state().orders().get(vm);
		boolean isRepeat = previous != null && previous.order().equals(required.command());
		int tries = isRepeat ? previous.tries() + 1 : 0;
		long number = step.nextCallNumber();
		LastEngineCommand last = new LastEngineCommand(number, required.command(), step.now(), tries,
				step.now().plus(retryDelay(step, tries)));
		step.update(step.state().withOrders(step.state().orders().plus(vm, last)));
		step.emit(new TargetEffect.SendOrder(CallIdentifier.of(CallOwner.GROUPS, number), vm,
				required.entry().address(), required.command(), notAfter));
	}

	private static Duration retryDelay(GroupStep step, int tries) {
		Duration delay = step.policy().orderRetry().multipliedBy(1L << Math.min(tries, MAXIMUM_DOUBLINGS));
		Duration maximum = step.policy().orderRetryLongest();
		return (delay.compareTo(maximum) < 0) ? delay : maximum;
	}

	static void handleAnswer(GroupStep step, TargetEvent.OrderAnswered answered) {
		if (answered.result() == EngineCommandResult.REFUSED_FENCED) {
			// The engine knows a higher fencing number, so another node has acquired the
			// lease.
			step.log(LogEvent.GROUP_ORDER_FENCED, "command " + answered.call().number());
			step.update(step.state().withLease(step.state().lease().withHeldUntil(step.now()).withReadFirst()));
			return;
		}
		if (answered.result() != EngineCommandResult.ACCEPTED) {
			return;
		}
		for (Map.Entry<VmName, LastEngineCommand> entry : step.state().orders().entrySet()) {
			VmEntry vm = step.view().fleet().entries().get(entry.getKey());
			if (entry.getValue().call() == answered.call().number() && vm != null) {
				step.emit(new TargetEffect.AskReport(vm.name(), vm.address()));
			}
		}
	}

}
