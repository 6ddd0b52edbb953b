package sycamorehill.logic.layout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Chooses the next group to form: the model that is furthest behind its part of the
 * engines first, in the fabric domain where it is wanted most and costs least.
 *
 * A domain is given to one model as far as possible: the survivors of two groups of four
 * then make a new group and two spares, where survivors in two domains make none.
 */
final class GroupChoice {

	/**
	 * Part of a group's engines that must be there before a domain is kept for it: two of
	 * four. Fewer would hold engines idle for too long.
	 */
	private static final double NEARLY = 0.5;

	/**
	 * Part of the groups wanted below which a model is urgent: with all its slots taken
	 * it has 0.7 of the groups that the load asks for, because refused requests don't
	 * show.
	 */
	private static final double URGENT = 0.75;

	private final Map<String, ModelFigures> reserved = new HashMap<>();

	private final EngineFigures figures;

	private final GroupCount count;

	private final Wanted wanted;

	private final DomainHolders holders;

	private GroupChoice(EngineFigures figures, GroupCount count, Wanted wanted, DomainHolders holders) {
		this.holders = holders;
		this.figures = figures;
		this.count = count;
		this.wanted = wanted;
	}

	/**
	 * Creates the choice.
	 * @param figures what the engines do
	 * @param count the groups that there are or are being formed
	 * @param wanted how many groups of a model there should be
	 * @param holders which models the engines of each domain hold
	 * @return the choice
	 */
	static GroupChoice of(EngineFigures figures, GroupCount count, Wanted wanted, DomainHolders holders) {
		return new GroupChoice(figures, count, wanted, holders);
	}

	/**
	 * Proposes the next group. A group whose members all hold the weights serves within 2
	 * s: it is formed also where as many are being loaded already as are missing.
	 * @param free engines that may be used
	 * @param convertible whether an engine that holds another model may be loaded anew
	 * @param hurried whether callers wait for the groups that are being loaded
	 * @return the proposal; empty if no group can be formed
	 */
	Optional<Proposal> next(List<TargetEntry> free, Conversion convertible, boolean hurried) {
		Map<String, List<TargetEntry>> domains = new TreeMap<>();
		for (TargetEntry engine : free) {
			engine.domain()
				.ifPresent((domain) -> domains.computeIfAbsent(domain, (key) -> new ArrayList<>()).add(engine));
		}
		reserve(domains);
		Optional<Proposal> soon = hurried ? best(byNeed(this.count::soon, false), domains, (engine, urgent) -> false, 0)
				: Optional.empty();
		return soon.isPresent() ? soon : best(byNeed(this.count::total, true), domains,
				(engine, urgent) -> !needed(engine) && convertible.allowed(engine, urgent), Integer.MAX_VALUE);
	}

	// Where pairs are formed of any two engines that come free, no domain ever has enough
	// for a large group again. The domain that is nearest to one is kept for it.
	private void reserve(Map<String, List<TargetEntry>> domains) {
		for (ModelFigures model : this.figures.models()) {
			if (this.count.total(model) >= this.wanted.groups(model, true)) {
				continue;
			}
			boolean possible = domains.values().stream().anyMatch((engines) -> usable(model, engines) >= model.size());
			if (!possible) {
				domains.entrySet()
					.stream()
					.filter((domain) -> usable(model, domain.getValue()) >= model.size() * NEARLY)
					.max(Comparator.comparingLong((domain) -> usable(model, domain.getValue())))
					.ifPresent((domain) -> this.reserved.put(domain.getKey(), model));
			}
		}
	}

	private static long usable(ModelFigures model, List<TargetEntry> engines) {
		return engines.stream().filter((engine) -> cost(engine, model) < 2).count();
	}

	private boolean kept(List<TargetEntry> engines, ModelFigures model) {
		ModelFigures holder = this.reserved.get(engines.get(0).domain().orElseThrow());
		return holder != null && !holder.equals(model);
	}

	// An engine keeps what it holds while groups of that model are missing: survivors of
	// a group of four are worth most to the next one.
	private boolean needed(TargetEntry engine) {
		return this.figures.models()
			.stream()
			.anyMatch((model) -> engine.staged().contains(model.name())
					&& this.count.soon(model) < this.wanted.groups(model, false));
	}

	private Optional<Proposal> best(List<ModelFigures> models, Map<String, List<TargetEntry>> domains,
			Conversion convertible, int mostLoads) {
		for (ModelFigures model : models) {
			boolean urgent = this.count.total(model) <= URGENT * this.wanted.groups(model, true);
			Optional<Proposal> best = domains.values()
				.stream()
				.filter((engines) -> !kept(engines, model))
				.flatMap((engines) -> propose(model, engines, (engine) -> convertible.allowed(engine, urgent)).stream())
				.filter((proposal) -> proposal.loads() <= mostLoads)
				.min(Comparator.comparingInt(Proposal::loads)
					.thenComparingInt((proposal) -> this.holders.others(domain(proposal), model))
					.thenComparingInt((proposal) -> this.count.in(model, proposal.members().get(0).dataCentre()))
					.thenComparingInt((proposal) -> -this.holders.of(domain(proposal), model))
					.thenComparing((proposal) -> proposal.members().get(0).name()));
			if (best.isPresent()) {
				return best;
			}
		}
		return Optional.empty();
	}

	/**
	 * Whether there are, or are being formed, as many groups of each model as wanted.
	 * @return true if no group is missing
	 */
	boolean complete() {
		return byNeed(this.count::total, true).isEmpty();
	}

	private static String domain(Proposal proposal) {
		return proposal.members().get(0).domain().orElseThrow();
	}

	private List<ModelFigures> byNeed(ToIntFunction<ModelFigures> groups, boolean loading) {
		return this.figures.models()
			.stream()
			.filter((model) -> groups.applyAsInt(model) < this.wanted.groups(model, loading))
			.sorted(Comparator
				.comparingDouble(
						(ModelFigures model) -> (groups.applyAsInt(model) + 0.5) / this.wanted.groups(model, loading))
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
	 * Tells which engines may be loaded with another model.
	 */
	interface Conversion {

		/**
		 * Decides.
		 * @param engine an engine that holds another model
		 * @param urgent whether nearly all slots of the model to load are taken
		 * @return true if it may be loaded anew
		 */
		boolean allowed(TargetEntry engine, boolean urgent);

	}

	/**
	 * Tells how many groups of a model there should be.
	 */
	interface Wanted {

		/**
		 * Decides.
		 * @param model the model
		 * @param loading whether weights would have to be loaded
		 * @return the number of groups
		 */
		int groups(ModelFigures model, boolean loading);

	}

}
