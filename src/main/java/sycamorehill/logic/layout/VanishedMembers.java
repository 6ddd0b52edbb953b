package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.TargetEntry;

/**
 * Finds out what became of members whose entries went without notice.
 *
 * One that answers is leaving silently: its group is taken apart while its streams can
 * still end. One that does not answer is dead, or cut off from the store and from this
 * node, but perhaps not from its head. Its group is left alone as long as it has requests
 * and none of them stands still: a group that lost a member shows that within a second.
 */
final class VanishedMembers {

	/** Pause before a member is asked again; a silent leave takes 2 s and more. */
	private static final Duration ASK_AGAIN = Duration.ofSeconds(1);

	/** A silence of the group's streams counts for the members for so long. */
	private static final Duration SUSPICION = Duration.ofSeconds(3);

	private final TargetDirectory directory;

	private final EngineOrders orders;

	private final Map<TargetName, Instant> asked = new HashMap<>();

	private final Map<TargetName, Instant> suspected = new HashMap<>();

	private final Set<TargetName> answering = new HashSet<>();

	private final Set<TargetName> unreachable = new HashSet<>();

	private VanishedMembers(TargetDirectory directory, EngineOrders orders) {
		this.directory = directory;
		this.orders = orders;
	}

	static VanishedMembers of(TargetDirectory directory, EngineOrders orders) {
		return new VanishedMembers(directory, orders);
	}

	/**
	 * Asks vanished members, and gives those up that nothing speaks for.
	 * @param groups the groups seen
	 * @param activity tells whether a group has requests
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void look(List<GroupView> groups, GroupActivity activity, Instant now, Effects effects) {
		forgetReturned();
		for (GroupView group : groups) {
			for (TargetEntry member : group.members()) {
				if (group.vanished().contains(member.name())) {
					look(group, member, activity, now, effects);
				}
			}
		}
	}

	private void look(GroupView group, TargetEntry member, GroupActivity activity, Instant now, Effects effects) {
		Instant last = this.asked.getOrDefault(member.name(), Instant.MIN);
		if (now.isAfter(last.plus(ASK_AGAIN)) && this.orders.free(member, now)) {
			this.asked.put(member.name(), now);
			this.orders.ask(member, now, effects);
		}
		boolean proven = !group.vanished().contains(group.head().name())
				&& activity.requests(group.head().name(), now) > 0;
		if (this.unreachable.contains(member.name()) && !proven) {
			this.directory.forgetVanished(member.name());
		}
	}

	private void forgetReturned() {
		this.asked.keySet().removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.answering.removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.unreachable.removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.suspected.keySet().removeIf((name) -> this.directory.findVanished(name).isEmpty());
	}

	/**
	 * Notes that all streams of a member's group stand still.
	 * @param member the member
	 * @param now the present time
	 */
	void suspect(TargetEntry member, Instant now) {
		this.suspected.put(member.name(), now);
	}

	/**
	 * Whether a vanished member still answers, and so is leaving.
	 * @param member the member
	 * @return true if it answered after its entry had gone
	 */
	boolean leaving(TargetEntry member) {
		return this.answering.contains(member.name());
	}

	void answered(TargetName engine, EngineReport report) {
		this.directory.findVanished(engine).ifPresent((entry) -> {
			this.unreachable.remove(engine);
			boolean same = report.membership().equals(entry.membership())
					|| report.membership().filter((seat) -> entry.memberOf(seat.group(), seat.epoch())).isPresent();
			if (same) {
				this.answering.add(engine);
			}
			else {
				this.directory.forgetVanished(engine);
			}
		});
	}

	void failed(TargetName engine, Instant now) {
		if (this.directory.findVanished(engine).isEmpty()) {
			return;
		}
		Instant since = this.suspected.getOrDefault(engine, Instant.MIN);
		if (now.isBefore(since.plus(SUSPICION))) {
			this.directory.forgetVanished(engine);
		}
		else {
			this.unreachable.add(engine);
		}
	}

}
