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
 * Determines what happened to members whose directory entries vanished without a leaving
 * notice.
 *
 * A member that answers is leaving without notice: its group is disbanded while its
 * streams can still finish. A member that does not answer has crashed, or is partitioned
 * from the store and from this node, but perhaps not from its head. Its group is kept as
 * long as it has requests and none of them stalls, because a group that lost a member
 * stalls within a second.
 */
final class VanishedMembers {

	/**
	 * Interval between two polls of a member; a leave without notice takes 2 s or more.
	 */
	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	/** Time for which a stall of all streams of a group makes its members suspect. */
	private static final Duration SUSPICION_TIME = Duration.ofSeconds(3);

	private final TargetDirectory directory;

	private final EngineCommandSender commandSender;

	private final Map<TargetName, Instant> lastPolled = new HashMap<>();

	private final Map<TargetName, Instant> suspectedAt = new HashMap<>();

	private final Set<TargetName> answering = new HashSet<>();

	private final Set<TargetName> unreachable = new HashSet<>();

	private VanishedMembers(TargetDirectory directory, EngineCommandSender commandSender) {
		this.directory = directory;
		this.commandSender = commandSender;
	}

	static VanishedMembers of(TargetDirectory directory, EngineCommandSender commandSender) {
		return new VanishedMembers(directory, commandSender);
	}

	/**
	 * Polls vanished members, and gives up those that cannot be reached and whose groups
	 * have no requests.
	 * @param groups the groups as currently seen
	 * @param groupActivity provides the number of requests of each group
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void update(List<GroupView> groups, GroupActivity groupActivity, Instant now, Effects effects) {
		forgetResolved();
		for (GroupView group : groups) {
			for (TargetEntry member : group.members()) {
				if (group.vanished().contains(member.name())) {
					update(group, member, groupActivity, now, effects);
				}
			}
		}
	}

	private void update(GroupView group, TargetEntry member, GroupActivity groupActivity, Instant now,
			Effects effects) {
		Instant polledAt = this.lastPolled.getOrDefault(member.name(), Instant.MIN);
		if (now.isAfter(polledAt.plus(POLL_INTERVAL)) && this.commandSender.isFree(member, now)) {
			this.lastPolled.put(member.name(), now);
			this.commandSender.requestReport(member, now, effects);
		}
		boolean hasRequests = !group.vanished().contains(group.head().name())
				&& groupActivity.requests(group.head().name(), now) > 0;
		if (this.unreachable.contains(member.name()) && !hasRequests) {
			this.directory.forgetVanished(member.name());
		}
	}

	private void forgetResolved() {
		this.lastPolled.keySet().removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.answering.removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.unreachable.removeIf((name) -> this.directory.findVanished(name).isEmpty());
		this.suspectedAt.keySet().removeIf((name) -> this.directory.findVanished(name).isEmpty());
	}

	/**
	 * Marks a member as suspect because all streams of its group stall.
	 * @param member the member
	 * @param now the current time
	 */
	void suspect(TargetEntry member, Instant now) {
		this.suspectedAt.put(member.name(), now);
	}

	/**
	 * Returns whether a vanished member still answers, which means that it is leaving.
	 * @param member the member
	 * @return true if it answered after its entry vanished
	 */
	boolean isLeaving(TargetEntry member) {
		return this.answering.contains(member.name());
	}

	void handleReport(TargetName engine, EngineReport report) {
		this.directory.findVanished(engine).ifPresent((entry) -> {
			this.unreachable.remove(engine);
			boolean sameMembership = report.membership().equals(entry.membership()) || report.membership()
				.filter((membership) -> entry.isMemberOf(membership.group(), membership.epoch()))
				.isPresent();
			if (sameMembership) {
				this.answering.add(engine);
			}
			else {
				this.directory.forgetVanished(engine);
			}
		});
	}

	void handleReportFailure(TargetName engine, Instant now) {
		if (this.directory.findVanished(engine).isEmpty()) {
			return;
		}
		Instant since = this.suspectedAt.getOrDefault(engine, Instant.MIN);
		if (now.isBefore(since.plus(SUSPICION_TIME))) {
			this.directory.forgetVanished(engine);
		}
		else {
			this.unreachable.add(engine);
		}
	}

}
