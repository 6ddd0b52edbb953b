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
final class GroupDisbander {

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration COMMAND_RETRY_DELAY = Duration.ofSeconds(2);

	/** Time after which the next member is told to leave if one did not answer. */
	private static final Duration DETACH_RETRY_DELAY = Duration.ofMillis(400);

	/**
	 * Time that a closing head is given for the longest answers that it runs.
	 */
	private static final Duration MAXIMUM_CLOSING_TIME = Duration.ofSeconds(8);

	private final TargetDirectory directory;

	private final EngineCommandSender commandSender;

	private final Duration headBreakTime;

	private final Map<GroupKey, Disbanding> disbanding = new HashMap<>();

	private final Set<GroupKey> endedGroups = new HashSet<>();

	private final Set<GroupKey> presumedBroken = new HashSet<>();

	private GroupDisbander(TargetDirectory directory, EngineCommandSender commandSender, Duration stallTime) {
		this.headBreakTime = stallTime.plus(DetachedMembers.BREAK_MARGIN);
		this.directory = directory;
		this.commandSender = commandSender;
	}

	static GroupDisbander of(TargetDirectory directory, EngineCommandSender commandSender, Duration stallTime) {
		return new GroupDisbander(directory, commandSender, stallTime);
	}

	void clear() {
		this.disbanding.clear();
		this.endedGroups.clear();
		this.presumedBroken.clear();
	}

	/**
	 * Forgets groups that no engine reports any more: if they come back, what was
	 * concluded from their absence doesn't hold.
	 * @param seen keys of the groups that are seen
	 */
	void keepOnly(Set<GroupKey> seen) {
		this.disbanding.keySet().retainAll(seen);
		this.endedGroups.retainAll(seen);
		this.presumedBroken.retainAll(seen);
	}

	/**
	 * Whether a group's members may be used again.
	 * @param group the group as it is seen now
	 * @return true if its head surely serves no more
	 */
	boolean hasEnded(GroupView group) {
		if (this.endedGroups.contains(group.key())) {
			return true;
		}
		if (this.presumedBroken.contains(group.key()) && group.headReported()) {
			this.presumedBroken.remove(group.key());
		}
		return this.presumedBroken.contains(group.key());
	}

	boolean isDisbanding(GroupView group) {
		return this.disbanding.containsKey(group.key());
	}

	int count() {
		return this.disbanding.size();
	}

	/**
	 * Whether taking a group apart has changed nothing yet, as far as it is known: no
	 * member has left it.
	 * @param group the group as it is seen now
	 * @return true if the group may go on
	 */
	boolean canBeCancelled(GroupView group) {
		Disbanding state = this.disbanding.get(group.key());
		return state != null && state.detachedAt == null;
	}

	/**
	 * Leaves a group as it is, because nothing is missing after all.
	 * @param group the group as it is seen now
	 * @param effects collects what is wanted
	 */
	void cancel(GroupView group, Effects effects) {
		this.disbanding.remove(group.key());
		effects.log(LogEvent.GROUP_CHANGED,
				"group=" + group.name() + " epoch=" + group.epoch() + " is whole again and goes on");
	}

	/**
	 * Goes on taking a group apart.
	 * @param group the group as it is seen now
	 * @param reachability what else is known of it
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void proceed(GroupView group, MemberReachability reachability, Instant now, Effects effects) {
		Disbanding state = this.disbanding.computeIfAbsent(group.key(), (key) -> start(group, now, effects));
		if (group.headReported()) {
			state.head = group.head();
		}
		if (headRestartedOrLeft(group, state)) {
			this.disbanding.remove(group.key());
			this.endedGroups.add(group.key());
		}
		else if (state.detachedAt != null && now.isAfter(state.detachedAt.plus(this.headBreakTime))) {
			this.disbanding.remove(group.key());
			this.presumedBroken.add(group.key());
		}
		else {
			if (!reachability.headReachable() || state.headUnresponsive) {
				detachMember(group, state, reachability, now, effects);
			}
			if (reachability.headReachable()) {
				endHead(group, state, reachability.complete(), now, effects);
			}
		}
	}

	private void endHead(GroupView group, Disbanding state, boolean complete, Instant now, Effects effects) {
		if (state.head != null) {
			boolean closeFirst = complete && now.isBefore(state.since.plus(MAXIMUM_CLOSING_TIME)) && isServing(group);
			sendToHead(state, closeFirst ? new EngineOrderCall.Close(group.name(), group.epoch())
					: new EngineOrderCall.Leave(group.name(), group.epoch()), now, effects);
		}
	}

	private static Disbanding start(GroupView group, Instant now, Effects effects) {
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch() + " taken apart seen="
				+ group.members().size() + " of=" + group.model().size() + " head-seen=" + group.headReported());
		return new Disbanding(now);
	}

	private static boolean isServing(GroupView group) {
		MemberState head = GroupView.memberState(group.head());
		return head == MemberState.OPEN || head == MemberState.CLOSING;
	}

	// Tells one member after the other to leave, until one has.
	private void detachMember(GroupView group, Disbanding state, MemberReachability reachability, Instant now,
			Effects effects) {
		if (state.detachedAt != null || now.isBefore(state.detachRequestedAt.plus(DETACH_RETRY_DELAY))) {
			return;
		}
		for (TargetEntry member : group.members()) {
			boolean isHead = member.membership().orElseThrow().rank() == 0;
			if (!isHead && reachability.isReachable(member) && this.commandSender.isFree(member, now)
					&& state.askedToLeave.add(member.name())) {
				state.detachRequestedAt = now;
				this.commandSender.sendWithoutCount(member, new EngineOrderCall.Leave(group.name(), group.epoch()), now,
						effects);
				return;
			}
		}
		state.askedToLeave.clear();
	}

	private boolean headRestartedOrLeft(GroupView group, Disbanding state) {
		if (state.head == null) {
			return false;
		}
		Optional<TargetEntry> present = this.directory.find(state.head.name());
		return present.isPresent() && (present.get().anotherLife(state.head) || !group.reportedBy(present.get()));
	}

	private void sendToHead(Disbanding state, EngineOrderCall command, Instant now, Effects effects) {
		boolean repeated = command.getClass().equals(state.lastCommand);
		if ((repeated && now.isBefore(state.lastCommandAt.plus(COMMAND_RETRY_DELAY)))
				|| !this.commandSender.isFree(state.head, now)) {
			return;
		}
		state.lastCommand = command.getClass();
		state.lastCommandAt = now;
		this.commandSender.sendWithoutCount(state.head, command, now, effects);
	}

	/**
	 * Takes an engine's answer to the order to leave. An engine that refuses is not in
	 * that group; one that answers under another name is in no group of before.
	 * @param engine the engine
	 * @param command the order
	 * @param answer the answer
	 * @param now the present time
	 * @return the group, if it serves no more from now on
	 */
	Optional<GroupEnd> handleLeaveAnswer(TargetName engine, EngineOrderCall.Leave command, EngineOrderAnswer answer,
			Instant now) {
		boolean confirmed = switch (answer) {
			case BEGUN, HOLDS_ALREADY, CONFLICT, OTHER_TARGET -> true;
			case OUTDATED, NOTHING_LISTENS, NOT_KNOWN, UNSUPPORTED -> false;
		};
		GroupKey key = new GroupKey(command.group(), command.epoch());
		Disbanding state = this.disbanding.get(key);
		if (state == null) {
			return Optional.empty();
		}
		boolean isHead = state.head != null && state.head.name().equals(engine);
		if (!isHead) {
			state.detachedAt = (confirmed && state.detachedAt == null) ? now : state.detachedAt;
		}
		else if (confirmed) {
			this.disbanding.remove(key);
			this.endedGroups.add(key);
		}
		else {
			state.headUnresponsive = true;
		}
		return (confirmed && state.head != null)
				? Optional.of(new GroupEnd(state.head.name(), command.group(), command.epoch())) : Optional.empty();
	}

	/**
	 * What the controller knows of a group beside what its members report. Engines that
	 * can't be reached are given no orders: behind a partition an order would arrive when
	 * it heals, and end a group that has served all the while.
	 *
	 * @param complete whether all its members are there, so that it may finish what it
	 * runs
	 * @param headReachable whether its head is in the directory and not known to be lost
	 * @param unreachable members that can't be reached
	 */
	record MemberReachability(boolean complete, boolean headReachable, Set<TargetName> unreachable) {

		private boolean isReachable(TargetEntry member) {
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
	private static final class Disbanding {

		private final Instant since;

		private TargetEntry head;

		private boolean headUnresponsive;

		private final Set<TargetName> askedToLeave = new HashSet<>();

		private Instant detachRequestedAt = Instant.MIN;

		private Instant detachedAt;

		private Class<? extends EngineOrderCall> lastCommand;

		private Instant lastCommandAt = Instant.MIN;

		Disbanding(Instant since) {
			this.since = since;
		}

	}

}
