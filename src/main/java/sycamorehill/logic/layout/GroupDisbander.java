package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;

/**
 * Disbands groups, and decides when their members may be reused.
 *
 * Members may be reused once the head has confirmed that it left the group, or has been
 * restarted. A head that no node reaches may continue to serve behind a partition for any
 * length of time. A refused connection proves nothing either, because partitions refuse
 * connections too. One of the members then receives the command to leave: a head that
 * lost a member stalls, and is certainly broken after the stall time, whether it is
 * reachable or not. Only then are the members reused.
 */
final class GroupDisbander {

	/**
	 * Time after which a command is sent to the head again if the directory does not show
	 * its effect.
	 */
	private static final Duration COMMAND_RETRY_DELAY = Duration.ofSeconds(2);

	/**
	 * Time after which the next member is commanded to leave if the previous one did not
	 * answer.
	 */
	private static final Duration DETACH_RETRY_DELAY = Duration.ofMillis(400);

	/**
	 * Maximum time that a closing head has to finish the answers that it is generating.
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
	 * Forgets groups that no engine reports any more, and that a group is presumed broken
	 * whose head reports it again. What was concluded from their absence no longer holds.
	 * @param seen the groups as currently seen
	 */
	void keepOnly(List<GroupView> seen) {
		Set<GroupKey> keys = seen.stream().map(GroupView::key).collect(Collectors.toSet());
		this.disbanding.keySet().retainAll(keys);
		this.endedGroups.retainAll(keys);
		this.presumedBroken.retainAll(keys);
		seen.stream().filter(GroupView::headReported).map(GroupView::key).forEach(this.presumedBroken::remove);
	}

	/**
	 * Returns whether the members of a group may be reused.
	 * @param group the group
	 * @return true if its head certainly no longer serves
	 */
	boolean hasEnded(GroupKey group) {
		return this.endedGroups.contains(group) || this.presumedBroken.contains(group);
	}

	boolean isDisbanding(GroupView group) {
		return this.disbanding.containsKey(group.key());
	}

	int count() {
		return this.disbanding.size();
	}

	/**
	 * Returns whether disbanding a group has had no effect so far. As far as is known, no
	 * member has left it.
	 * @param group the group as currently seen
	 * @return true if the group may continue to serve
	 */
	boolean canBeCancelled(GroupView group) {
		Disbanding state = this.disbanding.get(group.key());
		return state != null && state.detachedAt == null;
	}

	/**
	 * Cancels the disbanding of a group in which no member is missing after all.
	 * @param group the group as currently seen
	 * @param effects receives the resulting effects
	 */
	void cancel(GroupView group, Effects effects) {
		this.disbanding.remove(group.key());
		effects.log(LogEvent.GROUP_CHANGED,
				"group=" + group.name() + " epoch=" + group.epoch() + " is complete again, disbanding cancelled");
	}

	/**
	 * Starts or continues to disband a group.
	 * @param group the group as currently seen
	 * @param reachability the reachability of its members
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void proceed(GroupView group, MemberReachability reachability, Instant now, Effects effects) {
		Disbanding state = this.disbanding.computeIfAbsent(group.key(),
				(key) -> start(group, reachability, now, effects));
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
			sendToHead(state, closeFirst ? new EngineCommandRequest.Close(group.name(), group.epoch())
					: new EngineCommandRequest.Leave(group.name(), group.epoch()), now, effects);
		}
	}

	private static Disbanding start(GroupView group, MemberReachability reachability, Instant now, Effects effects) {
		effects.log(LogEvent.GROUP_CHANGED,
				"group=" + group.name() + " epoch=" + group.epoch() + " disbanding seen=" + group.members().size()
						+ " of=" + group.model().groupSize() + " head-seen=" + group.headReported() + " unreachable="
						+ reachability.unreachable());
		return new Disbanding(now);
	}

	private static boolean isServing(GroupView group) {
		MemberState head = GroupView.memberState(group.head());
		return head == MemberState.OPEN || head == MemberState.CLOSING;
	}

	// Tells one member after the other to leave, until one has left.
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
				this.commandSender.sendWithoutCount(member, new EngineCommandRequest.Leave(group.name(), group.epoch()),
						now, effects);
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
		return present.isPresent()
				&& (present.get().isOtherIncarnation(state.head) || !group.reportedBy(present.get()));
	}

	private void sendToHead(Disbanding state, EngineCommandRequest command, Instant now, Effects effects) {
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
	 * Handles an engine's answer to the command to leave. An engine that refuses the
	 * command is not in that group. If another target answers at its address, the engine
	 * is in none of its former groups.
	 * @param engine the engine
	 * @param command the command
	 * @param answer the answer
	 * @param now the current time
	 * @return the group, if it no longer serves from now on
	 */
	Optional<GroupEnd> handleLeaveAnswer(TargetName engine, EngineCommandRequest.Leave command,
			EngineCommandAnswer answer, Instant now) {
		boolean confirmed = switch (answer) {
			case BEGUN, HOLDS_ALREADY, CONFLICT, OTHER_TARGET -> true;
			case OUTDATED, NOTHING_LISTENS, NOT_CONNECTED, NOT_KNOWN, UNSUPPORTED -> false;
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
	 * The reachability of the members of a group, besides what they report themselves. No
	 * commands are sent to unreachable engines: behind a partition, a command would
	 * arrive when the partition heals, and end a group that has been serving all the
	 * time.
	 *
	 * @param complete whether all members are present and reachable, so that the group
	 * may finish its requests
	 * @param headReachable whether the head is in the directory and not known to be
	 * unreachable
	 * @param unreachable the members that cannot be reached
	 */
	record MemberReachability(boolean complete, boolean headReachable, Set<TargetName> unreachable) {

		private boolean isReachable(TargetEntry member) {
			return !this.unreachable.contains(member.name());
		}

	}

	/**
	 * A group that no longer serves.
	 *
	 * @param head the engine that received its requests
	 * @param group the name of the group
	 * @param epoch the epoch of the group
	 */
	record GroupEnd(TargetName head, String group, long epoch) {
	}

	/**
	 * The progress of disbanding a group.
	 */
	private static final class Disbanding {

		private final Instant since;

		private TargetEntry head;

		private boolean headUnresponsive;

		private final Set<TargetName> askedToLeave = new HashSet<>();

		private Instant detachRequestedAt = Instant.MIN;

		private Instant detachedAt;

		private Class<? extends EngineCommandRequest> lastCommand;

		private Instant lastCommandAt = Instant.MIN;

		Disbanding(Instant since) {
			this.since = since;
		}

	}

}
