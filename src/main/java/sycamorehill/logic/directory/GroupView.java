package sycamorehill.logic.directory;

import java.util.List;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * A group as its members report it.
 *
 * @param name the group's name
 * @param epoch the group's epoch
 * @param model its model
 * @param members the members seen, by rank
 * @param vanished members whose entries went lately: what is known of them is their last
 * word
 */
public record GroupView(String name, long epoch, ModelParameters model, List<TargetEntry> members,
		Set<TargetName> vanished) {

	/**
	 * Identifies the group among all that ever were.
	 * @return the key
	 */
	public GroupKey key() {
		return new GroupKey(this.name, this.epoch);
	}

	/**
	 * Whether an engine reports this group as its own.
	 * @param engine the engine
	 * @return true if it does
	 */
	public boolean reportedBy(TargetEntry engine) {
		return engine.isMemberOf(this.name, this.epoch);
	}

	/**
	 * Whether every rank was seen once, no member is leaving and all hold the model.
	 * @return true if the group is whole
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
	 * Whether every rank was seen once, whatever its state.
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
	 * Whether the group takes requests. Members that vanished may only be cut off from
	 * the store; if one is lost, the group stands still and is taken apart. A head that
	 * vanished may be leaving and gets no new work.
	 * @return true if it is whole and its head is open
	 */
	public boolean serving() {
		return allMembersReady() && memberState(head()) == MemberState.OPEN && !this.vanished.contains(head().name());
	}

	/**
	 * The member of rank 0.
	 * @return the head, or the member of the lowest rank seen
	 */
	public TargetEntry head() {
		return this.members.get(0);
	}

	/**
	 * Whether the member of rank 0 was seen.
	 * @return true if it was
	 */
	public boolean headReported() {
		return head().membership().orElseThrow().rank() == 0;
	}

	private static boolean hasLoadedModel(MemberState state) {
		return state == MemberState.READY || state == MemberState.OPEN;
	}

	/**
	 * Where a member stands.
	 * @param member the member
	 * @return its state
	 */
	public static MemberState memberState(TargetEntry member) {
		return member.membership().orElseThrow().state();
	}

}
