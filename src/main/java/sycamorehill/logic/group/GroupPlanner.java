package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupRecord;

/**
 * Plans the next allocation. The plan is only a proposal: the conditional update decides
 * whether it takes effect.
 */
final class GroupPlanner {

	private static final List<PlanPass> PASSES = List.of(new LoadPass(), new SurplusPass(), new RepairPass(),
			new RollingUpdatePass(), new DrainPass(), new FormationPass(), new StandbyPass());

	private GroupPlanner() {
	}

	/**
	 * Plans the next allocation.
	 * @param allocation the current allocation
	 * @param context the state that the decision is based on
	 * @param fencingNumber the controller's fencing number
	 * @param writer the mark that identifies the write
	 * @return the next allocation, the same instance if nothing changes
	 */
	static Allocation plan(Allocation allocation, PlanContext context, long fencingNumber, String writer) {
		AllocationDraft draft = AllocationDraft.of(allocation);
		for (PlanPass pass : PASSES) {
			pass.apply(draft, context);
		}
		return draft.build(fencingNumber, writer);
	}

	/**
	 * Returns the groups of a set, ordered by how important it is to keep them.
	 * @param draft the draft allocation
	 * @param context the state that the decision is based on
	 * @param specification the specification of the set
	 * @return the groups, the most important one first
	 */
	static List<GroupRecord> rankedGroups(AllocationDraft draft, PlanContext context,
			GroupSpecification specification) {
		List<GroupRecord> records = new ArrayList<>(draft.groups(specification.set().name()));
		records.sort(GroupRanking.comparator(context, specification));
		return records;
	}

	/**
	 * Handles one aspect of planning.
	 */
	interface PlanPass {

		/**
		 * Applies this pass to the draft.
		 * @param draft the draft allocation
		 * @param context the state that the decision is based on
		 */
		void apply(AllocationDraft draft, PlanContext context);

	}

}
