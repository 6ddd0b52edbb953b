package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.group.EngineOrders.Wish;
import sycamorehill.model.effect.TargetEffect;
import sycamorehill.model.event.TargetEvent;
import sycamorehill.model.group.EngineOrderResult;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.CallIdentifier;
import sycamorehill.model.identity.CallOwner;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.log.LogEvent;

/**
 * Gives orders to engines.
 */
final class OrderDesk {

	private static final int MOST_DOUBLINGS = 8;

	private OrderDesk() {
	}

	/**
	 * Gives the orders that are due.
	 * @param turn the step
	 * @param wishes the orders that the confirmed allocation asks for
	 */
	static void give(GroupTurn turn, List<Wish> wishes) {
		List<Wish> due = wishes.stream().filter((wish) -> isDue(turn, wish)).toList();
		if (due.isEmpty()) {
			return;
		}
		// Failure: a holder is paused past its lease, wakes, and orders engines that
		// ignore fencing numbers into a group that another controller has given up. An
		// order rests on a live read of the allocation, and the sender drops it when the
		// window after that read is over, also if the pause falls between the two.
		Duration half = turn.policy().orderWindow().dividedBy(2);
		Instant confirmedAt = turn.state().allocation().confirmedAt();
		if (confirmedAt.plus(half).isBefore(turn.now())) {
			AllocationTurns.readNow(turn);
			return;
		}
		Instant notAfter = confirmedAt.plus(turn.policy().orderWindow());
		for (Wish wish : due) {
			send(turn, wish, notAfter);
		}
	}

	/**
	 * Gives orders that rest on no live read, because the platform is silent to the whole
	 * data centre: nobody can have changed the allocation meanwhile.
	 * @param turn the step
	 * @param wishes the orders
	 */
	static void giveUnread(GroupTurn turn, List<Wish> wishes) {
		Instant notAfter = turn.now().plus(turn.policy().orderWindow());
		wishes.stream().filter((wish) -> isDue(turn, wish)).forEach((wish) -> send(turn, wish, notAfter));
	}

	private static boolean isDue(GroupTurn turn, Wish wish) {
		OrderTrack track = turn.state().orders().get(wish.entry().name());
		return track == null || !track.order().equals(wish.order()) || !turn.now().isBefore(track.notBefore());
	}

	private static void send(GroupTurn turn, Wish wish, Instant notAfter) {
		VmName vm = wish.entry().name();
		OrderTrack before = turn.state().orders().get(vm);
		boolean again = before != null && before.order().equals(wish.order());
		int tries = again ? before.tries() + 1 : 0;
		long number = turn.nextCall();
		OrderTrack track = new OrderTrack(number, wish.order(), turn.now(), tries, turn.now().plus(wait(turn, tries)));
		turn.change(turn.state().withOrders(turn.state().orders().plus(vm, track)));
		turn.emit(new TargetEffect.SendOrder(CallIdentifier.of(CallOwner.GROUPS, number), vm, wish.entry().address(),
				wish.order(), notAfter));
	}

	private static Duration wait(GroupTurn turn, int tries) {
		Duration wait = turn.policy().orderRetry().multipliedBy(1L << Math.min(tries, MOST_DOUBLINGS));
		Duration longest = turn.policy().orderRetryLongest();
		return (wait.compareTo(longest) < 0) ? wait : longest;
	}

	static void answered(GroupTurn turn, TargetEvent.OrderAnswered answered) {
		if (answered.result() == EngineOrderResult.REFUSED_FENCED) {
			// A higher fencing number is about: another node took the lease over.
			turn.log(LogEvent.GROUP_ORDER_FENCED, "order " + answered.call().number());
			turn.change(turn.state().withLease(turn.state().lease().withHeldUntil(turn.now()).mustRead()));
			return;
		}
		if (answered.result() != EngineOrderResult.ACCEPTED) {
			return;
		}
		for (Map.Entry<VmName, OrderTrack> entry : turn.state().orders().entrySet()) {
			VmEntry vm = turn.view().fleet().entries().get(entry.getKey());
			if (entry.getValue().call() == answered.call().number() && vm != null) {
				turn.emit(new TargetEffect.AskReport(vm.name(), vm.address()));
			}
		}
	}

}
