package sycamorehill.model.serving;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.WorkspaceName;

/**
 * Recent use of a service or model by workspace, as a load message reports it. Only the
 * workspaces with the most use are named, so that the size of the message is bounded.
 *
 * @param model the service or model
 * @param byWorkspace use of the named workspaces
 * @param rest use of the other workspaces together
 * @param restWorkspaces number of the other workspaces
 */
public record ModelUse(ServedModel model, Map<WorkspaceName, WorkspaceUse> byWorkspace, WorkspaceUse rest,
		int restWorkspaces) {

	/**
	 * Copies the uses.
	 */
	public ModelUse {
		byWorkspace = Map.copyOf(byWorkspace);
	}

	/**
	 * Creates the use of a model where all workspaces are named.
	 * @param model the service or model
	 * @param byWorkspace use of all workspaces
	 */
	public ModelUse(ServedModel model, Map<WorkspaceName, WorkspaceUse> byWorkspace) {
		this(model, byWorkspace, WorkspaceUse.NONE, 0);
	}

	/**
	 * Adds up the use at several nodes. The number of other workspaces is the largest
	 * one: most nodes have the same small workspaces in their rest.
	 * @param uses the uses of the same model, at least one
	 * @return the sum
	 */
	public static ModelUse sum(List<ModelUse> uses) {
		if (uses.size() == 1) {
			return uses.get(0);
		}
		Map<WorkspaceName, WorkspaceUse> sum = new HashMap<>();
		WorkspaceUse others = WorkspaceUse.NONE;
		int otherWorkspaces = 0;
		for (ModelUse use : uses) {
			use.byWorkspace().forEach((name, amounts) -> sum.merge(name, amounts, WorkspaceUse::plus));
			others = others.plus(use.rest());
			otherWorkspaces = Math.max(otherWorkspaces, use.restWorkspaces());
		}
		return new ModelUse(uses.get(0).model(), sum, others, otherWorkspaces);
	}

	/**
	 * Subtracts the use at one node, which this use includes.
	 * @param part the use at that node
	 * @return the use at the others
	 */
	public ModelUse minus(ModelUse part) {
		Map<WorkspaceName, WorkspaceUse> others = new HashMap<>(this.byWorkspace);
		part.byWorkspace.forEach((name, use) -> others.computeIfPresent(name, (same, sum) -> sum.minus(use)));
		others.values().removeIf(WorkspaceUse::isNegligible);
		WorkspaceUse otherRest = this.rest.minus(part.rest);
		return new ModelUse(this.model, others, otherRest, otherRest.isNegligible() ? 0 : this.restWorkspaces);
	}

	/**
	 * Returns whether no workspace has used the model lately.
	 * @return true if there is nothing to report
	 */
	public boolean isEmpty() {
		return this.byWorkspace.isEmpty() && this.restWorkspaces == 0;
	}

	/**
	 * Keeps the workspaces with the most use, and adds the others to the rest.
	 * @param maximumWorkspaces number of workspaces that may be named
	 * @return the bounded use
	 */
	public ModelUse bounded(int maximumWorkspaces) {
		if (this.byWorkspace.size() <= maximumWorkspaces) {
			return this;
		}
		List<Map.Entry<WorkspaceName, WorkspaceUse>> sorted = this.byWorkspace.entrySet()
			.stream()
			.sorted(Comparator
				.comparingDouble((Map.Entry<WorkspaceName, WorkspaceUse> entry) -> -entry.getValue().asked())
				.thenComparing(Map.Entry::getKey))
			.toList();
		Map<WorkspaceName, WorkspaceUse> largest = new HashMap<>();
		sorted.subList(0, maximumWorkspaces).forEach((entry) -> largest.put(entry.getKey(), entry.getValue()));
		List<Map.Entry<WorkspaceName, WorkspaceUse>> others = sorted.subList(maximumWorkspaces, sorted.size());
		WorkspaceUse sum = others.stream().map(Map.Entry::getValue).reduce(this.rest, WorkspaceUse::plus);
		return new ModelUse(this.model, largest, sum, this.restWorkspaces + others.size());
	}

}
