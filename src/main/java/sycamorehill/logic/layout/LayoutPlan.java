package sycamorehill.logic.layout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Plans what the spare engines are for: which of them form groups now, and which load
 * which weights.
 *
 * A group is formed only of engines whose hosts hold its weights, so that it serves
 * within 2 s; weights are loaded beforehand, while nothing else waits for the engine. The
 * plan is made anew from what is seen at each look. What engines hold and load counts in
 * it, so that it goes on with what it began.
 */
final class LayoutPlan {

	/**
	 * Part of a group's engines that must be there before a domain is kept for it: two of
	 * four. Fewer would hold engines idle for too long.
	 */
	private static final double NEARLY = 0.5;

	/** Added to the members of a model in a domain, so that none counts as zero. */
	private static final double FEW_MEMBERS = 0.1;

	private final EngineFigures figures;

	private final Wanted wanted;

	private final List<DomainStock> stocks;

	private final Map<String, Integer> groups = new HashMap<>();

	private final Map<DataCentreName, Map<String, Integer>> groupsNear = new HashMap<>();

	private final Map<Choice, Chosen> chosen = new HashMap<>();

	private final List<Formation> formations = new ArrayList<>();

	private final List<Load> loads = new ArrayList<>();

	private LayoutPlan(EngineFigures figures, Wanted wanted, List<DomainStock> stocks) {
		this.figures = figures;
		this.wanted = wanted;
		this.stocks = stocks;
		for (DomainStock stock : stocks) {
			for (ModelFigures model : figures.models()) {
				count(model, stock, stock.groups(model));
			}
		}
	}

	/**
	 * Makes a plan.
	 * @param figures what the engines do
	 * @param wanted how many groups of each model there should be
	 * @param stocks what each fabric domain has; used up by the plan
	 * @return the steps that are due, the most urgent first
	 */
	static Steps of(EngineFigures figures, Wanted wanted, List<DomainStock> stocks) {
		LayoutPlan plan = new LayoutPlan(figures, wanted, stocks);
		plan.formReady();
		plan.planMissing();
		plan.planSpares();
		return new Steps(plan.formations, plan.loads);
	}

	private void count(ModelFigures model, DomainStock stock, int number) {
		this.groups.merge(model.name(), number, Integer::sum);
		this.groupsNear.computeIfAbsent(stock.dataCentre(), (name) -> new HashMap<>())
			.merge(model.name(), number, Integer::sum);
	}

	private void addGroup(ModelFigures model, DomainStock stock) {
		stock.addGroup(model);
		count(model, stock, 1);
	}

	private int groups(ModelFigures model) {
		return this.groups.getOrDefault(model.name(), 0);
	}

	private int groupsNear(ModelFigures model, DomainStock stock) {
		return this.groupsNear.get(stock.dataCentre()).getOrDefault(model.name(), 0);
	}

	private boolean missing(ModelFigures model) {
		return groups(model) < this.wanted.groups(model);
	}

	// Models of which there are fewer groups than some number, the scarcest first.
	private List<ModelFigures> byNeed(Function<ModelFigures, Integer> most) {
		return this.figures.models()
			.stream()
			.filter((model) -> groups(model) < most.apply(model))
			.sorted(Comparator
				.comparingDouble((ModelFigures model) -> (groups(model) + 0.5) / this.wanted.groups(model))
				.thenComparing(ModelFigures::name))
			.toList();
	}

	// A whole set of engines that hold the weights is worth more as a group than as
	// spares: one that loses a member leaves the others as spares.
	private void formReady() {
		boolean formed = true;
		while (formed) {
			formed = byNeed(this.wanted::atMost).stream().anyMatch(this::form);
		}
	}

	private boolean form(ModelFigures model) {
		Optional<DomainStock> best = this.stocks.stream()
			.filter((stock) -> stock.ready(model).size() >= model.size())
			.min(Comparator.comparingInt((DomainStock stock) -> groupsNear(model, stock))
				.thenComparing(DomainStock::domain));
		best.ifPresent((stock) -> {
			List<SpareEngine> members = stock.ready(model).subList(0, model.size());
			stock.take(members);
			addGroup(model, stock);
			this.formations.add(new Formation(model, members.stream().map(SpareEngine::entry).toList()));
		});
		return best.isPresent();
	}

	private void planMissing() {
		Set<ModelFigures> impossible = new HashSet<>();
		Optional<ModelFigures> next = nextMissing(impossible);
		while (next.isPresent()) {
			ModelFigures model = next.get();
			if (!plan(bestWhole(model)) && !plan(bestPart(model))) {
				impossible.add(model);
			}
			next = nextMissing(impossible);
		}
	}

	private Optional<ModelFigures> nextMissing(Set<ModelFigures> impossible) {
		return byNeed(this.wanted::groups).stream().filter((model) -> !impossible.contains(model)).findFirst();
	}

	private boolean plan(Optional<Purpose> purpose) {
		purpose.ifPresent((found) -> {
			found.stock().take(found.engines());
			addGroup(found.model(), found.stock());
			found.engines()
				.stream()
				.filter((engine) -> engine.loadable() && !engine.holds(found.model()))
				.forEach((engine) -> this.loads.add(new Load(found.model(), engine.entry(), true)));
		});
		return purpose.isPresent();
	}

	// The domain where a group costs least: first in groups of other models that could
	// not be formed there any more, then in loads.
	private Optional<Purpose> bestWhole(ModelFigures model) {
		List<String> missing = this.figures.models().stream().filter(this::missing).map(ModelFigures::name).toList();
		return this.stocks.stream()
			.map((stock) -> whole(model, stock, missing))
			.filter((purpose) -> purpose.engines().size() == model.size())
			.min(Comparator.comparingInt(this::groupsPrevented)
				.thenComparingLong(Purpose::loads)
				.thenComparingInt((purpose) -> groupsNear(model, purpose.stock()))
				.thenComparingInt((purpose) -> -purpose.stock().spares().size())
				.thenComparing((purpose) -> purpose.stock().domain()));
	}

	// Each group that is planned changes one domain; for the others the choice holds.
	private Purpose whole(ModelFigures model, DomainStock stock, List<String> missing) {
		Choice choice = new Choice(model.name(), stock.domain(), missing);
		Chosen before = this.chosen.get(choice);
		if (before != null && before.stockChanges() == stock.changes()) {
			return before.purpose();
		}
		Purpose purpose = new Purpose(model, stock, cheapest(model, stock, this::convertible));
		this.chosen.put(choice, new Chosen(purpose, stock.changes()));
		return purpose;
	}

	// Where pairs are formed of any two engines that come free, no domain ever has enough
	// for a large group again. The domain that is nearest to one is kept for it.
	private Optional<Purpose> bestPart(ModelFigures model) {
		return this.stocks.stream()
			.map((stock) -> new Purpose(model, stock, cheapest(model, stock, (spare) -> false)))
			.filter((purpose) -> purpose.engines().size() >= model.size() * NEARLY)
			.max(Comparator.comparingInt((Purpose purpose) -> purpose.engines().size())
				.thenComparingLong((purpose) -> -purpose.loads())
				.thenComparing((purpose) -> purpose.stock().domain()));
	}

	private static List<SpareEngine> cheapest(ModelFigures model, DomainStock stock,
			Predicate<SpareEngine> convertible) {
		return stock.spares()
			.stream()
			.filter((spare) -> spare.holds(model) || spare.empty() || convertible.test(spare))
			.sorted(Comparator.comparingInt((SpareEngine spare) -> cost(spare, model))
				.thenComparing((spare) -> spare.entry().name()))
			.limit(model.size())
			.toList();
	}

	// An engine keeps what it holds while groups of that model are missing: survivors of
	// a group of four are worth most to the next one.
	private boolean convertible(SpareEngine spare) {
		return spare.loadable() && spare.settled()
				&& this.figures.models().stream().noneMatch((model) -> spare.holds(model) && missing(model));
	}

	private static int cost(SpareEngine spare, ModelFigures model) {
		if (spare.holds(model)) {
			return spare.loading().isEmpty() ? 0 : 1;
		}
		return spare.empty() ? 2 : 3;
	}

	private int groupsPrevented(Purpose purpose) {
		int prevented = 0;
		for (ModelFigures other : this.figures.models()) {
			if (!other.equals(purpose.model()) && missing(other)) {
				int before = purpose.stock().spares().size() / other.size();
				int after = (purpose.stock().spares().size() - purpose.engines().size()) / other.size();
				int lacking = this.wanted.groups(other) - groups(other);
				prevented += Math.min(before, lacking) - Math.min(after, lacking);
			}
		}
		return prevented;
	}

	// A spare that holds the weights of a lost member replaces it at once; one without
	// them has to load first.
	private void planSpares() {
		for (DomainStock stock : this.stocks) {
			boolean changed = true;
			while (changed) {
				changed = List.copyOf(stock.spares())
					.stream()
					.filter(SpareEngine::loadable)
					.anyMatch((spare) -> load(spare, stock));
			}
		}
	}

	private boolean load(SpareEngine spare, DomainStock stock) {
		ModelFigures scarce = this.figures.models()
			.stream()
			.min(Comparator.comparingDouble((ModelFigures model) -> cover(model, stock, 0))
				.thenComparing(ModelFigures::name))
			.orElseThrow();
		boolean worth = !spare.holds(scarce) && (spare.empty() || (spare.settled() && this.figures.models()
			.stream()
			.filter(spare::holds)
			.allMatch((held) -> cover(held, stock, -1) > cover(scarce, stock, 0))));
		if (worth) {
			stock.take(List.of(spare));
			stock.addSpare(new SpareEngine(spare.entry(), Optional.of(scarce.name()), true, false));
			this.loads.add(new Load(scarce, spare.entry(), false));
		}
		return worth;
	}

	// Spares against members: the next loss hits a model as often as it has members.
	private static double cover(ModelFigures model, DomainStock stock, int more) {
		double members = (stock.groups(model) + FEW_MEMBERS) * model.size();
		return (stock.holders(model) + more + 0.5) / members;
	}

	/**
	 * What is due.
	 *
	 * @param formations groups to form now
	 * @param loads loads to begin, the most urgent first
	 */
	record Steps(List<Formation> formations, List<Load> loads) {
	}

	/**
	 * A group to form.
	 *
	 * @param model its model
	 * @param members its engines, the head first
	 */
	record Formation(ModelFigures model, List<TargetEntry> members) {
	}

	/**
	 * A load to begin.
	 *
	 * @param model the model
	 * @param engine the engine whose host is to hold it
	 * @param awaited whether a group can't be formed before it has ended
	 */
	record Load(ModelFigures model, TargetEntry engine, boolean awaited) {
	}

	/**
	 * Engines of one domain that are kept for a group.
	 *
	 * @param model the group's model
	 * @param stock the domain
	 * @param engines the engines
	 */
	private record Purpose(ModelFigures model, DomainStock stock, List<SpareEngine> engines) {

		private long loads() {
			return this.engines.stream().filter((engine) -> !engine.holds(this.model)).count();
		}

	}

	/**
	 * What the choice of engines for a group depends on, beside the domain's spares.
	 *
	 * @param model the group's model
	 * @param domain the domain
	 * @param missing models of which groups are missing
	 */
	private record Choice(String model, String domain, List<String> missing) {
	}

	/**
	 * Engines that were chosen.
	 *
	 * @param purpose the engines
	 * @param stockChanges the domain's count of changes at that time
	 */
	private record Chosen(Purpose purpose, int stockChanges) {
	}

	/**
	 * Tells how many groups of a model there should be.
	 */
	interface Wanted {

		/**
		 * The number of groups for which weights are loaded.
		 * @param model the model
		 * @return the number of groups
		 */
		int groups(ModelFigures model);

		/**
		 * The number of groups that are formed where the weights are there already.
		 * @param model the model
		 * @return the number of groups, at least as many as are loaded for
		 */
		int atMost(ModelFigures model);

	}

}
