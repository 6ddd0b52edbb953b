package sycamorehill.logic.group;

import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.GroupRecord;

/**
 * Decides what the allocation is to be. It only proposes: the conditional update decides
 * whether the proposal holds.
 */
final class GroupPlanner {

	private static final List<PlanPass> PASSES = List.of(new LoadPass(), new SurplusPass(), new RepairPass(),
			new RollingUpdatePass(), new DrainPass(), new FormationPass(), new StandbyPass());

	private GroupPlanner() {
	}

	/**
	 * Plans the next allocation.
	 * @param allocation the allocation as it is
	 * @param context what the decision rests on
	 * @param fencingNumber the controller's fencing number
	 * @param writer the mark of the write
	 * @return the allocation as it is to be; the very same if nothing is to change
	 */
	static Allocation plan(Allocation allocation, PlanContext context, long fencingNumber, String writer) {
		AllocationDraft draft = AllocationDraft.of(allocation);
		for (PlanPass pass : PASSES) {
			pass.apply(draft, context);
		}
		return draft.build(fencingNumber, writer);
	}

	/**
	 * The groups of a set that are to stay, the ones worth most first.
	 * @param draft the allocation under change
	 * @param context what the decision rests on
	 * @param specification what the truth asks for
	 * @return the groups, worth most first
	 */
	static List<GroupRecord> rankedGroups(AllocationDraft draft, PlanContext context,
			GroupSpecification specification) {
		List<GroupRecord> records = new ArrayList<>(draft.groups(specification.set().name()));
		records.sort(GroupRanking.comparator(context, specification));
		return records;
	}

	/**
	 * One concern of the planning.
	 */
	interface PlanPass {

		/**
		 * Changes the draft.
		 * @param draft the allocation under change
		 * @param context what the decision rests on
		 */
		void apply(AllocationDraft draft, PlanContext context);

	}

}
