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
	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	/** A silence of the group's streams counts for the members for so long. */
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
	 * Asks vanished members, and gives those up that nothing speaks for.
	 * @param groups the groups seen
	 * @param groupActivity tells whether a group has requests
	 * @param now the present time
	 * @param effects collects what is wanted
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
	 * Notes that all streams of a member's group stand still.
	 * @param member the member
	 * @param now the present time
	 */
	void suspect(TargetEntry member, Instant now) {
		this.suspectedAt.put(member.name(), now);
	}

	/**
	 * Whether a vanished member still answers, and so is leaving.
	 * @param member the member
	 * @return true if it answered after its entry had gone
	 */
	boolean isLeaving(TargetEntry member) {
		return this.answering.contains(member.name());
	}

	void handleReport(TargetName engine, EngineReport report) {
		this.directory.findVanished(engine).ifPresent((entry) -> {
			this.unreachable.remove(engine);
			boolean sameMembership = report.membership().equals(entry.membership()) || report.membership()
				.filter((membership) -> entry.memberOf(membership.group(), membership.epoch()))
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
