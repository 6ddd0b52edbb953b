package sycamorehill.model.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent use of all services and models by workspace, at one node or at several.
 *
 * @param models the use by service and model, each listed once
 */
public record UseReport(List<ModelUse> models) {

	/** No use. */
	public static final UseReport NONE = new UseReport(List.of());

	/**
	 * Number of services and models that a message reports, those with the most use.
	 */
	static final int MAXIMUM_MODELS = 8;

	/**
	 * Copies the models.
	 */
	public UseReport {
		models = List.copyOf(models);
	}

	/**
	 * Adds up reports.
	 * @param reports the reports of several nodes
	 * @return the sum
	 */
	public static UseReport sum(Iterable<UseReport> reports) {
		Map<ServedModel, List<ModelUse>> uses = new HashMap<>();
		reports.forEach((report) -> report.models
			.forEach((use) -> uses.computeIfAbsent(use.model(), (model) -> new ArrayList<>()).add(use)));
		return new UseReport(uses.values().stream().map(ModelUse::sum).toList());
	}

	/**
	 * Subtracts the report of one node, which this report includes.
	 * @param part the node's report
	 * @return the use at the others
	 */
	public UseReport minus(UseReport part) {
		Map<ServedModel, ModelUse> others = new HashMap<>();
		this.models.forEach((use) -> others.put(use.model(), use));
		part.models.forEach((use) -> others.computeIfPresent(use.model(), (model, sum) -> sum.minus(use)));
		return new UseReport(others.values().stream().filter((use) -> !use.isEmpty()).toList());
	}

	/**
	 * Bounds the size of the report.
	 * @param maximumWorkspaces number of workspaces that may be named for each model
	 * @return the bounded report
	 */
	public UseReport bounded(int maximumWorkspaces) {
		return new UseReport(this.models.stream()
			.sorted(Comparator.comparingDouble((ModelUse use) -> -asked(use))
				.thenComparing((use) -> use.model().toString()))
			.limit(MAXIMUM_MODELS)
			.map((use) -> use.bounded(maximumWorkspaces))
			.toList());
	}

	private static double asked(ModelUse use) {
		return use.rest().asked() + use.byWorkspace().values().stream().mapToDouble(WorkspaceUse::asked).sum();
	}

}
