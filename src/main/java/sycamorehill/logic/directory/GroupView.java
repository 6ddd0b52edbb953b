package sycamorehill.logic.directory;

import java.util.List;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Holds a group as its members report it.
 *
 * @param name the group's name
 * @param epoch the group's epoch
 * @param model the parameters of its model
 * @param members the known members, sorted by rank
 * @param vanished the members that are known only by their last entry, because it was
 * recently removed from the store
 */
public record GroupView(String name, long epoch, ModelParameters model, List<TargetEntry> members,
		Set<TargetName> vanished) {

	/**
	 * Returns the key that identifies the group.
	 * @return the key
	 */
	public GroupKey key() {
		return new GroupKey(this.name, this.epoch);
	}

	/**
	 * Returns whether an engine reports that it is a member of this group.
	 * @param engine the engine
	 * @return true if it does
	 */
	public boolean reportedBy(TargetEntry engine) {
		return engine.isMemberOf(this.name, this.epoch);
	}

	/**
	 * Returns whether each rank is reported by exactly one member, no member is leaving,
	 * and all members have loaded the model.
	 * @return true if the group is complete and its members are ready
	 */
	public boolean allMembersReady() {
		if (!allRanksReported()) {
			return false;
		}
		for (TargetEntry member : this.members) {
			if (member.leaving() || !hasLoadedModel(memberState(member))) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether each rank is reported by exactly one member, in any state.
	 * @return true if no member is missing
	 */
	public boolean allRanksReported() {
		if (this.members.size() != this.model.groupSize()) {
			return false;
		}
		for (int rank = 0; rank < this.members.size(); rank++) {
			if (this.members.get(rank).membership().orElseThrow().rank() != rank) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether the group accepts requests. A vanished member may only be
	 * partitioned from the store, so it does not count as lost; if it is lost, the group
	 * stalls and is disbanded. A vanished head may be leaving and receives no new
	 * requests.
	 * @return true if all members are ready, and the head is open and has not vanished
	 */
	public boolean serving() {
		return allMembersReady() && memberState(head()) == MemberState.OPEN && !this.vanished.contains(head().name());
	}

	/**
	 * Returns the member of rank 0.
	 * @return the head, or the known member of the lowest rank if rank 0 is not reported
	 */
	public TargetEntry head() {
		return this.members.get(0);
	}

	/**
	 * Returns whether a member of rank 0 is known.
	 * @return true if it is
	 */
	public boolean headReported() {
		return head().membership().orElseThrow().rank() == 0;
	}

	private static boolean hasLoadedModel(MemberState state) {
		return state == MemberState.READY || state == MemberState.OPEN;
	}

	/**
	 * Returns a member's state in its group.
	 * @param member the member
	 * @return its state
	 */
	public static MemberState memberState(TargetEntry member) {
		return member.membership().orElseThrow().state();
	}

}
