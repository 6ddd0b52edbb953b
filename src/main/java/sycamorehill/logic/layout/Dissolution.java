package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetAddress;
import sycamorehill.model.serving.TargetEntry;

/**
 * Takes groups apart, and knows which groups' members may be used again.
 *
 * Members may be used once the head has confirmed that it left, or has begun another
 * life. A head that nobody reaches may still serve behind a partition; a refused
 * connection proves nothing either, because partitions refuse connections too. Its
 * members are used only after it was gone from the directory, and silent, for longer than
 * any partition is expected to last, and only those that were seen all that time: members
 * that come back together with their head from behind a partition must not be taken from
 * it.
 */
final class Dissolution {

	/**
	 * Time after which an accepted order must show in the directory, or is given again.
	 */
	private static final Duration ORDER_AGAIN = Duration.ofSeconds(2);

	/**
	 * Time that a closing head is given for what it runs: the longest answers take 8 s.
	 */
	private static final Duration CLOSING_TIME = Duration.ofSeconds(8);

	/**
	 * Added to the stall time, counted from the first sign that the group stands still: a
	 * head that lost a member, or its members, is broken after the stall time; one that
	 * only we and the store can't reach serves on, and such partitions last up to 10 s.
	 */
	private static final Duration BROKEN_MARGIN = Duration.ofSeconds(8);

	/** Time that a head must be gone from the directory before it is taken for dead. */
	private static final Duration GONE_FOR = Duration.ofMillis(2500);

	private final TargetDirectory directory;

	private final EngineLedger ledger;

	private final Duration stallTime;

	private final Map<String, Ending> ending = new HashMap<>();

	private final Set<String> left = new HashSet<>();

	private final Set<String> presumedGone = new HashSet<>();

	private Dissolution(TargetDirectory directory, EngineLedger ledger, Duration stallTime) {
		this.stallTime = stallTime;
		this.directory = directory;
		this.ledger = ledger;
	}

	static Dissolution of(TargetDirectory directory, EngineLedger ledger, Duration stallTime) {
		return new Dissolution(directory, ledger, stallTime);
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
	void keepOnly(Set<String> seen) {
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
		if (this.presumedGone.contains(group.key()) && group.headSeen()) {
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
	 * Goes on taking a group apart.
	 * @param group the group as it is seen now
	 * @param standing whether all its members are there, so that it may finish what it
	 * runs
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void proceed(GroupView group, boolean standing, Instant now, Effects effects) {
		Ending state = this.ending.computeIfAbsent(group.key(), (key) -> begin(group, now, effects));
		if (group.headSeen()) {
			state.head = group.head();
			state.headGoneSince = null;
		}
		else if (state.headGoneSince == null) {
			state.headGoneSince = now;
		}
		if (headBeganAnew(group, state)) {
			this.ending.remove(group.key());
			this.left.add(group.key());
		}
		else if (surelyGone(state, now)) {
			this.ending.remove(group.key());
			this.presumedGone.add(group.key());
		}
		else if (state.head != null) {
			boolean closeFirst = standing && now.isBefore(state.since.plus(CLOSING_TIME)) && serves(group);
			order(state, closeFirst ? new EngineOrderCall.Close(group.name(), group.epoch())
					: new EngineOrderCall.Leave(group.name(), group.epoch()), now, effects);
		}
	}

	private static Ending begin(GroupView group, Instant now, Effects effects) {
		effects.log(LogEvent.GROUP_CHANGED, "group=" + group.name() + " epoch=" + group.epoch() + " taken apart seen="
				+ group.members().size() + " of=" + group.model().size() + " head-seen=" + group.headSeen());
		return new Ending(now);
	}

	private static boolean serves(GroupView group) {
		MemberState head = GroupView.state(group.head());
		return head == MemberState.OPEN || head == MemberState.CLOSING;
	}

	private boolean surelyGone(Ending state, Instant now) {
		return state.headGoneSince != null && this.directory.reached()
				&& now.isAfter(state.headGoneSince.plus(GONE_FOR))
				&& now.isAfter(state.since.plus(this.stallTime).plus(BROKEN_MARGIN));
	}

	private boolean headBeganAnew(GroupView group, Ending state) {
		if (state.head == null) {
			return false;
		}
		Optional<TargetEntry> present = this.directory.find(state.head.name());
		return present.isPresent() && (present.get().anotherLife(state.head) || !group.reportedBy(present.get()));
	}

	// These orders name the group and its epoch: carried out late they do no harm, so
	// they
	// need no count of orders.
	private void order(Ending state, EngineOrderCall order, Instant now, Effects effects) {
		boolean same = order.getClass().equals(state.ordered);
		if ((same && now.isBefore(state.orderedAt.plus(ORDER_AGAIN))) || !this.ledger.free(state.head.name(), now)) {
			return;
		}
		state.ordered = order.getClass();
		state.orderedAt = now;
		this.ledger.called(state.head.name(), now);
		effects.add(new EntryEffect.SendOrder(new TargetAddress(state.head.name(), state.head.address()), order,
				EntryEffect.SendOrder.ANY_COUNT));
	}

	/**
	 * Takes a head's answer to the order to leave. An engine that refuses is not in that
	 * group; one that answers under another name heads no group of before.
	 * @param leave the order
	 * @param answer the answer
	 */
	void answered(EngineOrderCall.Leave leave, EngineOrderAnswer answer) {
		boolean proven = switch (answer) {
			case BEGUN, HOLDS_ALREADY, CONFLICT, OTHER_TARGET -> true;
			case OUTDATED, NOTHING_LISTENS, NOT_KNOWN, UNSUPPORTED -> false;
		};
		String key = GroupView.key(leave.group(), leave.epoch());
		if (proven && this.ending.remove(key) != null) {
			this.left.add(key);
		}
	}

	/**
	 * A group on its way out.
	 */
	private static final class Ending {

		private final Instant since;

		private TargetEntry head;

		private Instant headGoneSince;

		private Class<? extends EngineOrderCall> ordered;

		private Instant orderedAt = Instant.MIN;

		Ending(Instant since) {
			this.since = since;
		}

	}

}
