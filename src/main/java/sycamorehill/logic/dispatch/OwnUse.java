package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.WorkspaceUse;

/**
 * Recent use of all services and models through this node, by workspace.
 */
final class OwnUse {

	private final Map<ServedModel, Map<WorkspaceName, PriorityUse>> uses = new HashMap<>();

	private OwnUse() {
	}

	static OwnUse create() {
		return new OwnUse();
	}

	PriorityUse getOrCreate(ServedModel model, WorkspaceName workspace, Instant now) {
		return this.uses.computeIfAbsent(model, (key) -> new HashMap<>())
			.computeIfAbsent(workspace, (key) -> PriorityUse.create(now));
	}

	Optional<PriorityUse> find(ServedModel model, WorkspaceName workspace) {
		return Optional.ofNullable(this.uses.get(model)).map((byWorkspace) -> byWorkspace.get(workspace));
	}

	/**
	 * Drops all other workspaces.
	 * @param workspaces the workspaces of the configuration
	 */
	void retain(Set<WorkspaceName> workspaces) {
		this.uses.values().forEach((byWorkspace) -> byWorkspace.keySet().retainAll(workspaces));
	}

	/**
	 * Returns the current use, and forgets workspaces and models without any.
	 * @param now the current time
	 * @return the use of all workspaces
	 */
	UseReport report(Instant now) {
		this.uses.values()
			.forEach((byWorkspace) -> byWorkspace.values().removeIf((use) -> use.total(now).isNegligible()));
		this.uses.values().removeIf(Map::isEmpty);
		List<ModelUse> models = new ArrayList<>();
		this.uses.forEach((model, byWorkspace) -> {
			Map<WorkspaceName, WorkspaceUse> totals = new HashMap<>();
			byWorkspace.forEach((workspace, use) -> totals.put(workspace, use.total(now)));
			models.add(new ModelUse(model, totals));
		});
		return new UseReport(models);
	}

}
