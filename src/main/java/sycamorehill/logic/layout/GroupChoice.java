package sycamorehill.logic.layout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Chooses the next group to form: the model that is furthest behind its part of the
 * engines first, in the fabric domain where it is wanted most and costs least.
 */
final class GroupChoice {

	private final EngineFigures figures;

	private final ToIntFunction<ModelFigures> groups;

	private GroupChoice(EngineFigures figures, ToIntFunction<ModelFigures> groups) {
		this.figures = figures;
		this.groups = groups;
	}

	/**
	 * Creates the choice.
	 * @param figures what the engines do
	 * @param groups how many groups of a model there are or are being formed
	 * @return the choice
	 */
	static GroupChoice of(EngineFigures figures, ToIntFunction<ModelFigures> groups) {
		return new GroupChoice(figures, groups);
	}

	/**
	 * Proposes the next group.
	 * @param free engines that may be used
	 * @param groupsIn how many groups of a model a data centre has
	 * @param convertible whether an engine that holds another model may be loaded anew
	 * @return the proposal; empty if no group can be formed
	 */
	Optional<Proposal> next(List<TargetEntry> free, GroupCount groupsIn, Predicate<TargetEntry> convertible) {
		Map<String, List<TargetEntry>> domains = new TreeMap<>();
		for (TargetEntry engine : free) {
			engine.domain()
				.ifPresent((domain) -> domains.computeIfAbsent(domain, (key) -> new ArrayList<>()).add(engine));
		}
		for (ModelFigures model : byNeed()) {
			Optional<Proposal> best = domains.values()
				.stream()
				.flatMap((engines) -> propose(model, engines, convertible).stream())
				.min(Comparator.comparingInt(Proposal::loads)
					.thenComparingInt((proposal) -> groupsIn.of(model, proposal.members().get(0).dataCentre()))
					.thenComparing((proposal) -> proposal.members().get(0).name()));
			if (best.isPresent()) {
				return best;
			}
		}
		return Optional.empty();
	}

	private List<ModelFigures> byNeed() {
		return this.figures.models()
			.stream()
			.sorted(Comparator
				.comparingDouble((ModelFigures model) -> (this.groups.applyAsInt(model) + 0.5) * model.size()
						/ Math.max(model.share(), 0.001))
				.thenComparing(ModelFigures::name))
			.toList();
	}

	private static Optional<Proposal> propose(ModelFigures model, List<TargetEntry> engines,
			Predicate<TargetEntry> convertible) {
		List<TargetEntry> usable = engines.stream()
			.filter((engine) -> cost(engine, model) < 2 || convertible.test(engine))
			.sorted(Comparator.comparingInt((TargetEntry engine) -> cost(engine, model))
				.thenComparing(TargetEntry::name))
			.limit(model.size())
			.toList();
		if (usable.size() < model.size()) {
			return Optional.empty();
		}
		int loads = (int) usable.stream().filter((engine) -> cost(engine, model) > 0).count();
		return Optional.of(new Proposal(model, usable, loads));
	}

	// 0: the weights lie on the host; 1: the host holds nothing; 2: it holds another
	// model.
	private static int cost(TargetEntry engine, ModelFigures model) {
		if (engine.staged().contains(model.name())) {
			return 0;
		}
		return engine.staged().isEmpty() ? 1 : 2;
	}

	/**
	 * A group to form.
	 *
	 * @param model its model
	 * @param members its engines, the head first
	 * @param loads members that load from the weight store
	 */
	record Proposal(ModelFigures model, List<TargetEntry> members, int loads) {
	}

	/**
	 * Counts the groups of a model in a data centre.
	 */
	interface GroupCount {

		/**
		 * Counts.
		 * @param model the model
		 * @param dataCentre the data centre
		 * @return the number of groups there or being formed there
		 */
		int of(ModelFigures model, DataCentreName dataCentre);

	}

}
