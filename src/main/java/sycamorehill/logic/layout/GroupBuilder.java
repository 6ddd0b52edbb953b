package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupKey;
import sycamorehill.logic.directory.GroupNames;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;

/**
 * Builds groups: has the members join, and opens a group once every member is ready.
 */
final class GroupBuilder {

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration OPEN_RETRY_DELAY = Duration.ofSeconds(2);

	/**
	 * A group that another controller began and that is not ready after so many times its
	 * longest load is taken apart.
	 */
	private static final int JOIN_TIMEOUT_FACTOR = 6;

	/** Distance between the epochs of two terms, more than any term uses up. */
	private static final long EPOCHS_PER_TERM = 1_000_000;

	private final TargetDirectory directory;

	private final EngineCommandSender commandSender;

	private final UnreachableEngines unreachableEngines;

	private final Map<GroupKey, FormingGroup> formingGroups = new HashMap<>();

	private final Map<GroupKey, Instant> joiningSince = new HashMap<>();

	private final Map<GroupKey, Instant> openedAt = new HashMap<>();

	private long term;

	private long epochsUsed;

	private GroupBuilder(TargetDirectory directory, EngineCommandSender commandSender,
			UnreachableEngines unreachableEngines) {
		this.directory = directory;
		this.commandSender = commandSender;
		this.unreachableEngines = unreachableEngines;
	}

	static GroupBuilder of(TargetDirectory directory, EngineCommandSender commandSender,
			UnreachableEngines unreachableEngines) {
		return new GroupBuilder(directory, commandSender, unreachableEngines);
	}

	/**
	 * Begins a term of the controller, which gives its groups higher epochs than any term
	 * before.
	 * @param term the term
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
		this.formingGroups.put(new GroupKey(group.name(), epoch), group);
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " forming members="
				+ group.members().stream().map(TargetEntry::name).toList());
		sendJoins(group, now, effects);
	}

	/**
	 * Gives up the groups being formed that one of their engines can't be part of any
	 * more.
	 */
	void dropUnformable() {
		this.formingGroups.values()
			.removeIf((group) -> group.members().stream().anyMatch(this.unreachableEngines::isUnusable));
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
				.filter((entry) -> entry.memberOf(group.name(), group.epoch()))
				.isPresent();
			if (!listed && !group.hasJoined(member.name())) {
				this.commandSender.send(member, group.joinCommand(), now, effects);
			}
		}
	}

	/**
	 * Whether a group broke, closes, or doesn't become ready.
	 * @param group the group as it is seen now
	 * @param now the present time
	 * @return true if it has to be taken apart
	 */
	boolean hasFailed(GroupView group, Instant now) {
		MemberState headState = GroupView.memberState(group.head());
		if (headState == MemberState.JOINING && !isForming(group)) {
			Instant since = this.joiningSince.computeIfAbsent(group.key(), (key) -> now);
			return now.isAfter(since.plus(group.model().coldLoad().multipliedBy(JOIN_TIMEOUT_FACTOR)));
		}
		this.joiningSince.remove(group.key());
		return headState == MemberState.BROKEN || headState == MemberState.CLOSING;
	}

	/**
	 * Opens a group whose members are all ready.
	 * @param group the group as it is seen now
	 * @param now the present time
	 * @param effects collects what is wanted
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
				this.commandSender.send(group.head(), new EngineOrderCall.Open(group.name(), group.epoch()), now,
						effects);
			}
		}
	}

	/**
	 * Takes an engine's answer to the order to join.
	 * @param engine the engine
	 * @param join the order
	 * @param answer the answer
	 */
	void handleJoinAnswer(TargetName engine, EngineOrderCall.Join join, EngineOrderAnswer answer) {
		FormingGroup group = this.formingGroups.get(new GroupKey(join.group(), join.epoch()));
		if (group == null) {
			return;
		}
		if (answer.holds()) {
			group.recordJoined(engine);
		}
		else if (answer == EngineOrderAnswer.OUTDATED || answer == EngineOrderAnswer.OTHER_TARGET
				|| answer == EngineOrderAnswer.NOTHING_LISTENS) {
			this.formingGroups.remove(new GroupKey(join.group(), join.epoch()));
		}
	}

	void handleOpenAnswer(EngineOrderCall.Open open, EngineOrderAnswer answer, Instant now) {
		if (answer.holds()) {
			this.openedAt.put(new GroupKey(open.group(), open.epoch()), now);
		}
	}

	/**
	 * Takes an engine's report: a group that it tells of shows that the order to join was
	 * carried out.
	 * @param engine the engine
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	void handleReport(TargetName engine, String group, long epoch) {
		FormingGroup formingGroup = this.formingGroups.get(new GroupKey(group, epoch));
		if (formingGroup != null) {
			formingGroup.recordJoined(engine);
		}
	}

}
