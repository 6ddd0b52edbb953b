package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;

/**
 * Takes groups apart, and knows which groups' members may be used again.
 *
 * Members may be used once the head has confirmed that it left, or has begun another
 * life. A head that nobody reaches may still serve behind a partition, and for any time;
 * a refused connection proves nothing either, because partitions refuse connections too.
 * One of its members is then told to leave: a head that lost a member stands still, and
 * is surely broken after the stall time, whether anybody reaches it or not. Only then are
 * the members used.
 */
final class Dissolution {

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration ORDER_AGAIN = Duration.ofSeconds(2);

	/** Time after which the next member is told to leave if one did not answer. */
	private static final Duration SEVER_AGAIN = Duration.ofMillis(400);

	/**
	 * Time that a closing head is given for the longest answers that it runs.
	 */
	private static final Duration CLOSING_TIME = Duration.ofSeconds(8);

	private final TargetDirectory directory;

	private final EngineOrders orders;

	private final Duration breakTime;

	private final Map<GroupKey, Ending> ending = new HashMap<>();

	private final Set<GroupKey> left = new HashSet<>();

	private final Set<GroupKey> presumedGone = new HashSet<>();

	private Dissolution(TargetDirectory directory, EngineOrders orders, Duration stallTime) {
		this.breakTime = stallTime.plus(SeveredMembers.BREAK_MARGIN);
		this.directory = directory;
		this.orders = orders;
	}

	static Dissolution of(TargetDirectory directory, EngineOrders orders, Duration stallTime) {
		return new Dissolution(directory, orders, stallTime);
	}

	void clear() {
		this.ending.clear();
		this.left.clear();
		this.presumedGone.clear();
	}

	/**
	 * Forgets groups that no engine reports any more: if they come back, what was
	 * concluded from their absence doesn't hold.
	 * @param seen keys of the groups that are seen
	 */
	void keepOnly(Set<GroupKey> seen) {
		this.ending.keySet().retainAll(seen);
		this.left.retainAll(seen);
		this.presumedGone.retainAll(seen);
	}

	/**
	 * Whether a group's members may be used again.
	 * @param group the group as it is seen now
	 * @return true if its head surely serves no more
	 */
	boolean over(GroupView group) {
		if (this.left.contains(group.key())) {
			return true;
		}
		if (this.presumedGone.contains(group.key()) && group.headReported()) {
			this.presumedGone.remove(group.key());
		}
		return this.presumedGone.contains(group.key());
	}

	boolean underWay(GroupView group) {
		return this.ending.containsKey(group.key());
	}

	int count() {
		return this.ending.size();
	}

	/**
	 * Whether taking a group apart has changed nothing yet, as far as it is known: no
	 * member has left it.
	 * @param group the group as it is seen now
	 * @return true if the group may go on
	 */
	boolean withoutEffect(GroupView group) {
		Ending state = this.ending.get(group.key());
		return state != null && state.severedAt == null;
	}

	/**
	 * Leaves a group as it is, because nothing is missing after all.
	 * @param group the group as it is seen now
	 * @param effects collects what is wanted
	 */
	void giveUp(GroupView group, Effects effects) {
		this.ending.remove(group.key());
		effects.log(LogEvent.GROUP_CHANGED,
				"group=" + group.name() + " epoch=" + group.epoch() + " is whole again and goes on");
	}

	/**
	 * Goes on taking a group apart.
	 * @param group the group as it is seen now
	 * @param sight what else is known of it
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void proceed(GroupView group, Sight sight, Instant now, Effects effects) {
		Ending state = this.ending.computeIfAbsent(group.key(), (key) -> begin(group, now, effects));
		if (group.headReported()) {
			state.head = group.head();
		}
		if (headBeganAnew(group, state)) {
			this.ending.remove(group.key());
			this.left.add(group.key());
		}
		else if (state.severedAt != null && now.isAfter(state.severedAt.plus(this.breakTime))) {
			this.ending.remove(group.key());
			this.presumedGone.add(group.key());
		}
		else {
			if (!sight.headAnswers() || state.headSilent) {
				sever(group, state, sight, now, effects);
			}
			if (sight.headAnswers()) {
				leave(group, state, sight.standing(), now, effects);
			}
		}
	}

	private void leave(GroupView group, Ending state, boolean standing, Instant now, Effects effects) {
		if (state.head != null) {
			boolean closeFirst = standing && now.isBefore(state.since.plus(CLOSING_TIME)) && serves(group);
			order(state, closeFirst ? new EngineOrderCall.Close(group.name(), group.epoch())
					: new EngineOrderCall.Leave(group.name(), group.epoch()), now, effects);
		}
	}

	private static Ending begin(GroupView group, Instant now, Effects effects) {
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch() + " taken apart seen="
				+ group.members().size() + " of=" + group.model().size() + " head-seen=" + group.headReported());
		return new Ending(now);
	}

	private static boolean serves(GroupView group) {
		MemberState head = GroupView.memberState(group.head());
		return head == MemberState.OPEN || head == MemberState.CLOSING;
	}

	// Tells one member after the other to leave, until one has.
	private void sever(GroupView group, Ending state, Sight sight, Instant now, Effects effects) {
		if (state.severedAt != null || now.isBefore(state.severOrderedAt.plus(SEVER_AGAIN))) {
			return;
		}
		for (TargetEntry member : group.members()) {
			boolean head = member.membership().orElseThrow().rank() == 0;
			if (!head && sight.reachable(member) && this.orders.free(member, now) && state.asked.add(member.name())) {
				state.severOrderedAt = now;
				this.orders.sendUncounted(member, new EngineOrderCall.Leave(group.name(), group.epoch()), now, effects);
				return;
			}
		}
		state.asked.clear();
	}

	private boolean headBeganAnew(GroupView group, Ending state) {
		if (state.head == null) {
			return false;
		}
		Optional<TargetEntry> present = this.directory.find(state.head.name());
		return present.isPresent() && (present.get().anotherLife(state.head) || !group.reportedBy(present.get()));
	}

	private void order(Ending state, EngineOrderCall order, Instant now, Effects effects) {
		boolean same = order.getClass().equals(state.ordered);
		if ((same && now.isBefore(state.orderedAt.plus(ORDER_AGAIN))) || !this.orders.free(state.head, now)) {
			return;
		}
		state.ordered = order.getClass();
		state.orderedAt = now;
		this.orders.sendUncounted(state.head, order, now, effects);
	}

	/**
	 * Takes an engine's answer to the order to leave. An engine that refuses is not in
	 * that group; one that answers under another name is in no group of before.
	 * @param engine the engine
	 * @param leave the order
	 * @param answer the answer
	 * @param now the present time
	 * @return the group, if it serves no more from now on
	 */
	Optional<GroupEnd> answered(TargetName engine, EngineOrderCall.Leave leave, EngineOrderAnswer answer, Instant now) {
		boolean proven = switch (answer) {
			case BEGUN, HOLDS_ALREADY, CONFLICT, OTHER_TARGET -> true;
			case OUTDATED, NOTHING_LISTENS, NOT_KNOWN, UNSUPPORTED -> false;
		};
		GroupKey key = new GroupKey(leave.group(), leave.epoch());
		Ending state = this.ending.get(key);
		if (state == null) {
			return Optional.empty();
		}
		boolean head = state.head != null && state.head.name().equals(engine);
		if (!head) {
			state.severedAt = (proven && state.severedAt == null) ? now : state.severedAt;
		}
		else if (proven) {
			this.ending.remove(key);
			this.left.add(key);
		}
		else {
			state.headSilent = true;
		}
		return (proven && state.head != null)
				? Optional.of(new GroupEnd(state.head.name(), leave.group(), leave.epoch())) : Optional.empty();
	}

	/**
	 * What the controller knows of a group beside what its members report. Engines that
	 * can't be reached are given no orders: behind a partition an order would arrive when
	 * it heals, and end a group that has served all the while.
	 *
	 * @param standing whether all its members are there, so that it may finish what it
	 * runs
	 * @param headAnswers whether its head is in the directory and not known to be lost
	 * @param unreachable members that can't be reached
	 */
	record Sight(boolean standing, boolean headAnswers, Set<TargetName> unreachable) {

		private boolean reachable(TargetEntry member) {
			return !this.unreachable.contains(member.name());
		}

	}

	/**
	 * A group that serves no more.
	 *
	 * @param head the engine that took its requests
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record GroupEnd(TargetName head, String group, long epoch) {
	}

	/**
	 * A group on its way out.
	 */
	private static final class Ending {

		private final Instant since;

		private TargetEntry head;

		private boolean headSilent;

		private final Set<TargetName> asked = new HashSet<>();

		private Instant severOrderedAt = Instant.MIN;

		private Instant severedAt;

		private Class<? extends EngineOrderCall> ordered;

		private Instant orderedAt = Instant.MIN;

		Ending(Instant since) {
			this.since = since;
		}

	}

}
