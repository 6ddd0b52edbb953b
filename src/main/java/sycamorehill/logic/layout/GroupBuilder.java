package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupNames;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;

/**
 * Forms groups: has the members join, and opens a group once every member is ready.
 */
final class GroupBuilder {

	/**
	 * Time after which an accepted command to open is sent again if the directory does
	 * not list the group as open.
	 */
	private static final Duration OPEN_RETRY_DELAY = Duration.ofSeconds(2);

	/**
	 * Multiple of a model's cold load time after which a group that another controller
	 * began to form is disbanded if it is not ready.
	 */
	private static final int JOIN_TIMEOUT_FACTOR = 6;

	/** Number of epochs reserved for each term, more than any term uses. */
	private static final long EPOCHS_PER_TERM = 1_000_000;

	private final TargetDirectory directory;

	private final EngineCommandSender commandSender;

	private final UnreachableEngines unreachableEngines;

	/** Tells whether the head of a group certainly no longer serves. */
	private final Predicate<GroupKey> endedGroups;

	private final Map<GroupKey, FormingGroup> formingGroups = new HashMap<>();

	private final Map<GroupKey, Instant> joiningSince = new HashMap<>();

	private final Map<GroupKey, Instant> openedAt = new HashMap<>();

	private long term;

	private long epochsUsed;

	private GroupBuilder(TargetDirectory directory, EngineCommandSender commandSender,
			UnreachableEngines unreachableEngines, Predicate<GroupKey> endedGroups) {
		this.directory = directory;
		this.commandSender = commandSender;
		this.unreachableEngines = unreachableEngines;
		this.endedGroups = endedGroups;
	}

	static GroupBuilder of(TargetDirectory directory, EngineCommandSender commandSender,
			UnreachableEngines unreachableEngines, Predicate<GroupKey> endedGroups) {
		return new GroupBuilder(directory, commandSender, unreachableEngines, endedGroups);
	}

	/**
	 * Starts a term of the controller. Its groups get higher epochs than the groups of
	 * all earlier terms.
	 * @param term the number of the term
	 */
	void startTerm(long term) {
		this.term = term;
		this.epochsUsed = 0;
		this.formingGroups.clear();
		this.joiningSince.clear();
		this.openedAt.clear();
	}

	void startForming(LayoutPlan.Formation formation, Instant now, Effects effects) {
		this.epochsUsed++;
		long epoch = this.term * EPOCHS_PER_TERM + this.epochsUsed;
		FormingGroup group = FormingGroup.of(GroupNames.name(formation.model().name(), epoch), epoch, formation.model(),
				formation.members());
		this.formingGroups.put(group.key(), group);
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " forming members="
				+ group.members().stream().map(TargetEntry::name).toList());
		sendJoins(group, now, effects);
	}

	/**
	 * Stops forming the groups of which a member can no longer be used, or is in another
	 * group that may serve: a command to join that one was carried out late. Another
	 * command would take the member out of it.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void dropUnformable(Instant now, Effects effects) {
		List<FormingGroup> dropped = this.formingGroups.values()
			.stream()
			.filter((group) -> group.members()
				.stream()
				.anyMatch((member) -> this.unreachableEngines.isUnusable(member)
						|| isInOtherGroup(member, group.key(), now)))
			.toList();
		for (FormingGroup group : dropped) {
			this.formingGroups.remove(group.key());
			effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch()
					+ " is not formed: a member is unusable or in another group");
		}
	}

	private boolean isInOtherGroup(TargetEntry member, GroupKey forming, Instant now) {
		Predicate<GroupKey> allowed = this.endedGroups.or(forming::equals);
		boolean listedInOther = this.directory.find(member.name())
			.flatMap(TargetEntry::membership)
			.map((membership) -> new GroupKey(membership.group(), membership.epoch()))
			.filter(allowed.negate())
			.isPresent();
		return listedInOther || this.commandSender.isBoundByReport(member, allowed, now);
	}

	void drop(GroupView group) {
		this.formingGroups.remove(group.key());
	}

	Collection<FormingGroup> formingGroups() {
		return this.formingGroups.values();
	}

	boolean isForming(GroupView group) {
		return this.formingGroups.containsKey(group.key());
	}

	void sendJoins(Instant now, Effects effects) {
		this.formingGroups.values().forEach((group) -> sendJoins(group, now, effects));
	}

	private void sendJoins(FormingGroup group, Instant now, Effects effects) {
		for (TargetEntry member : group.members()) {
			boolean listed = this.directory.find(member.name())
				.filter((entry) -> entry.isMemberOf(group.name(), group.epoch()))
				.isPresent();
			if (!listed && !group.hasJoined(member.name())) {
				this.commandSender.send(member, group.joinCommand(), now, effects);
			}
		}
	}

	/**
	 * Returns whether a group is broken, is closing, or did not become ready in time.
	 * @param group the group as currently seen
	 * @param now the current time
	 * @return true if the group must be disbanded
	 */
	boolean hasFailed(GroupView group, Instant now) {
		MemberState headState = GroupView.memberState(group.head());
		if (headState == MemberState.JOINING && !isForming(group)) {
			Instant since = this.joiningSince.computeIfAbsent(group.key(), (key) -> now);
			return now.isAfter(since.plus(group.model().coldLoadTime().multipliedBy(JOIN_TIMEOUT_FACTOR)));
		}
		this.joiningSince.remove(group.key());
		return headState == MemberState.BROKEN || headState == MemberState.CLOSING;
	}

	/**
	 * Opens a group whose members are all ready.
	 * @param group the group as currently seen
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void openIfReady(GroupView group, Instant now, Effects effects) {
		MemberState headState = GroupView.memberState(group.head());
		if (headState == MemberState.OPEN) {
			this.formingGroups.remove(group.key());
			this.openedAt.remove(group.key());
		}
		else if (headState == MemberState.READY && group.allMembersReady()) {
			this.formingGroups.remove(group.key());
			Instant answeredAt = this.openedAt.get(group.key());
			if (answeredAt == null || now.isAfter(answeredAt.plus(OPEN_RETRY_DELAY))) {
				this.commandSender.send(group.head(), new EngineCommandRequest.Open(group.name(), group.epoch()), now,
						effects);
			}
		}
	}

	/**
	 * Handles an engine's answer to the command to join.
	 * @param engine the engine
	 * @param join the command
	 * @param answer the answer
	 */
	void handleJoinAnswer(TargetName engine, EngineCommandRequest.Join join, EngineCommandAnswer answer) {
		FormingGroup group = this.formingGroups.get(new GroupKey(join.group(), join.epoch()));
		if (group == null) {
			return;
		}
		if (answer.isSuccessful()) {
			group.recordJoined(engine);
		}
		else if (answer == EngineCommandAnswer.OUTDATED || answer == EngineCommandAnswer.OTHER_TARGET
				|| answer == EngineCommandAnswer.NOTHING_LISTENS) {
			this.formingGroups.remove(new GroupKey(join.group(), join.epoch()));
		}
	}

	void handleOpenAnswer(EngineCommandRequest.Open open, EngineCommandAnswer answer, Instant now) {
		if (answer.isSuccessful()) {
			this.openedAt.put(new GroupKey(open.group(), open.epoch()), now);
		}
	}

	/**
	 * Handles an engine's report. A group named in it confirms that the engine has
	 * carried out the command to join.
	 * @param engine the engine
	 * @param group the name of the group
	 * @param epoch the epoch of the group
	 */
	void handleReport(TargetName engine, String group, long epoch) {
		FormingGroup formingGroup = this.formingGroups.get(new GroupKey(group, epoch));
		if (formingGroup != null) {
			formingGroup.recordJoined(engine);
		}
	}

}
