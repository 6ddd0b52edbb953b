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
	private static final Duration SHOWS_WITHIN = Duration.ofSeconds(2);

	/**
	 * A group that another controller began and that is not ready after so many times its
	 * longest load is taken apart.
	 */
	private static final int LOAD_TIMES = 6;

	/** Distance between the epochs of two terms, more than any term uses up. */
	private static final long EPOCHS_PER_TERM = 1_000_000;

	private final TargetDirectory directory;

	private final EngineOrders orders;

	private final LostEngines lost;

	private final Map<GroupKey, FormingGroup> forming = new HashMap<>();

	private final Map<GroupKey, Instant> joiningSince = new HashMap<>();

	private final Map<GroupKey, Instant> opened = new HashMap<>();

	private long term;

	private long epochs;

	private GroupBuilder(TargetDirectory directory, EngineOrders orders, LostEngines lost) {
		this.directory = directory;
		this.orders = orders;
		this.lost = lost;
	}

	static GroupBuilder of(TargetDirectory directory, EngineOrders orders, LostEngines lost) {
		return new GroupBuilder(directory, orders, lost);
	}

	/**
	 * Begins a term of the controller, which gives its groups higher epochs than any term
	 * before.
	 * @param number the term
	 */
	void beginTerm(long number) {
		this.term = number;
		this.epochs = 0;
		this.forming.clear();
		this.joiningSince.clear();
		this.opened.clear();
	}

	void begin(LayoutPlan.Formation formation, Instant now, Effects effects) {
		this.epochs++;
		long epoch = this.term * EPOCHS_PER_TERM + this.epochs;
		FormingGroup group = FormingGroup.of(GroupNames.name(formation.model().name(), epoch), epoch, formation.model(),
				formation.members());
		this.forming.put(new GroupKey(group.name(), epoch), group);
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " forming members="
				+ group.members().stream().map(TargetEntry::name).toList());
		orderJoins(group, now, effects);
	}

	/**
	 * Gives up the groups being formed that one of their engines can't be part of any
	 * more.
	 */
	void dropHopeless() {
		this.forming.values().removeIf((group) -> group.members().stream().anyMatch(this.lost::unusable));
	}

	void drop(GroupView group) {
		this.forming.remove(group.key());
	}

	Collection<FormingGroup> forming() {
		return this.forming.values();
	}

	boolean builds(GroupView group) {
		return this.forming.containsKey(group.key());
	}

	void orderJoins(Instant now, Effects effects) {
		this.forming.values().forEach((group) -> orderJoins(group, now, effects));
	}

	private void orderJoins(FormingGroup group, Instant now, Effects effects) {
		for (TargetEntry member : group.members()) {
			boolean shown = this.directory.find(member.name())
				.filter((seen) -> seen.memberOf(group.name(), group.epoch()))
				.isPresent();
			if (!shown && !group.hasJoined(member.name())) {
				this.orders.send(member, group.order(), now, effects);
			}
		}
	}

	/**
	 * Whether a group broke, closes, or doesn't become ready.
	 * @param group the group as it is seen now
	 * @param now the present time
	 * @return true if it has to be taken apart
	 */
	boolean hopeless(GroupView group, Instant now) {
		MemberState head = GroupView.memberState(group.head());
		if (head == MemberState.JOINING && !builds(group)) {
			Instant since = this.joiningSince.computeIfAbsent(group.key(), (key) -> now);
			return now.isAfter(since.plus(group.model().coldLoad().multipliedBy(LOAD_TIMES)));
		}
		this.joiningSince.remove(group.key());
		return head == MemberState.BROKEN || head == MemberState.CLOSING;
	}

	/**
	 * Opens a group whose members are all ready.
	 * @param group the group as it is seen now
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tend(GroupView group, Instant now, Effects effects) {
		MemberState head = GroupView.memberState(group.head());
		if (head == MemberState.OPEN) {
			this.forming.remove(group.key());
			this.opened.remove(group.key());
		}
		else if (head == MemberState.READY && group.allMembersReady()) {
			this.forming.remove(group.key());
			Instant ordered = this.opened.get(group.key());
			if (ordered == null || now.isAfter(ordered.plus(SHOWS_WITHIN))) {
				this.orders.send(group.head(), new EngineOrderCall.Open(group.name(), group.epoch()), now, effects);
			}
		}
	}

	/**
	 * Takes an engine's answer to the order to join.
	 * @param engine the engine
	 * @param join the order
	 * @param answer the answer
	 */
	void joinAnswered(TargetName engine, EngineOrderCall.Join join, EngineOrderAnswer answer) {
		FormingGroup group = this.forming.get(new GroupKey(join.group(), join.epoch()));
		if (group == null) {
			return;
		}
		if (answer.holds()) {
			group.joined(engine);
		}
		else if (answer == EngineOrderAnswer.OUTDATED || answer == EngineOrderAnswer.OTHER_TARGET
				|| answer == EngineOrderAnswer.NOTHING_LISTENS) {
			this.forming.remove(new GroupKey(join.group(), join.epoch()));
		}
	}

	void openAnswered(EngineOrderCall.Open open, EngineOrderAnswer answer, Instant now) {
		if (answer.holds()) {
			this.opened.put(new GroupKey(open.group(), open.epoch()), now);
		}
	}

	/**
	 * Takes an engine's report: a group that it tells of shows that the order to join was
	 * carried out.
	 * @param engine the engine
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	void reported(TargetName engine, String group, long epoch) {
		FormingGroup forming = this.forming.get(new GroupKey(group, epoch));
		if (forming != null) {
			forming.joined(engine);
		}
	}

}
