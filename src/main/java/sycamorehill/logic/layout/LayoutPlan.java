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
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Plans the use of the spare engines: which of them form groups now, and which load which
 * weights.
 *
 * A group is formed only of engines whose hosts hold its weights, so that it serves
 * within 2 s. Weights are loaded in advance, while nothing else waits for the engine.
 * Each plan is made from scratch from the current state. It takes into account the
 * weights that engines hold or are loading, so that it continues what earlier plans
 * began.
 */
final class LayoutPlan {

	/**
	 * Minimum share of a group's engines that must be present before a domain is reserved
	 * for the group: two of four. With fewer, engines would be idle for too long.
	 */
	private static final double MINIMUM_PARTIAL_SHARE = 0.5;

	/**
	 * Added to the number of groups of a model in a domain, so that its number of members
	 * is never zero.
	 */
	private static final double MEMBER_OFFSET = 0.1;

	private final EngineParameters parameters;

	private final DesiredGroupCounts desiredCounts;

	private final List<DomainInventory> inventories;

	private final Map<String, Integer> groupCount = new HashMap<>();

	private final Map<DataCentreName, Map<String, Integer>> localGroupCount = new HashMap<>();

	private final Map<ReservationKey, CachedReservation> reservationCache = new HashMap<>();

	private final List<Formation> formations = new ArrayList<>();

	private final List<Load> loads = new ArrayList<>();

	private LayoutPlan(EngineParameters parameters, DesiredGroupCounts desiredCounts,
			List<DomainInventory> inventories) {
		this.parameters = parameters;
		this.desiredCounts = desiredCounts;
		this.inventories = inventories;
		for (DomainInventory inventory : inventories) {
			for (ModelParameters model : parameters.models()) {
				addToCounts(model, inventory, inventory.groups(model));
			}
		}
	}

	/**
	 * Creates a plan.
	 * @param parameters the parameters of the engines
	 * @param desiredCounts the desired number of groups of each model
	 * @param inventories the inventories of all fabric domains, which the plan uses up
	 * @return the steps that are due, the most urgent first
	 */
	static Steps of(EngineParameters parameters, DesiredGroupCounts desiredCounts, List<DomainInventory> inventories) {
		LayoutPlan plan = new LayoutPlan(parameters, desiredCounts, inventories);
		plan.formReadyGroups(desiredCounts::desired);
		plan.planMissingGroups();
		plan.formReadyGroups(desiredCounts::maximum);
		plan.planSpareLoads();
		return new Steps(plan.formations, plan.loads);
	}

	private void addToCounts(ModelParameters model, DomainInventory inventory, int count) {
		this.groupCount.merge(model.name(), count, Integer::sum);
		this.localGroupCount.computeIfAbsent(inventory.dataCentre(), (name) -> new HashMap<>())
			.merge(model.name(), count, Integer::sum);
	}

	private void addGroup(ModelParameters model, DomainInventory inventory) {
		inventory.addGroup(model);
		addToCounts(model, inventory, 1);
	}

	private int groupCount(ModelParameters model) {
		return this.groupCount.getOrDefault(model.name(), 0);
	}

	private int localGroupCount(ModelParameters model, DomainInventory inventory) {
		return this.localGroupCount.get(inventory.dataCentre()).getOrDefault(model.name(), 0);
	}

	private boolean lacksGroups(ModelParameters model) {
		return groupCount(model) < this.desiredCounts.desired(model);
	}

	// Returns the models that have fewer groups than their limit, the scarcest first.
	private List<ModelParameters> scarcestModels(Function<ModelParameters, Integer> limit) {
		return this.parameters.models()
			.stream()
			.filter((model) -> groupCount(model) < limit.apply(model))
			.sorted(Comparator
				.comparingDouble(
						(ModelParameters model) -> (groupCount(model) + 0.5) / this.desiredCounts.desired(model))
				.thenComparing(ModelParameters::name))
			.toList();
	}

	// A complete set of engines that hold the weights is worth more as a group than as
	// spares: if the group loses a member, the others become spares. Engines that another
	// model lacks are worth more there.
	private void formReadyGroups(Function<ModelParameters, Integer> limit) {
		boolean formed = true;
		while (formed) {
			formed = scarcestModels(limit).stream().anyMatch(this::form);
		}
	}

	private boolean form(ModelParameters model) {
		Optional<DomainInventory> best = this.inventories.stream()
			.filter((inventory) -> inventory.readySpares(model).size() >= model.groupSize())
			.min(Comparator.comparingInt((DomainInventory inventory) -> localGroupCount(model, inventory))
				.thenComparing(DomainInventory::domain));
		best.ifPresent((inventory) -> {
			List<SpareEngine> members = inventory.readySpares(model).subList(0, model.groupSize());
			inventory.removeSpares(members);
			addGroup(model, inventory);
			this.formations.add(new Formation(model, members.stream().map(SpareEngine::entry).toList()));
		});
		return best.isPresent();
	}

	private void planMissingGroups() {
		Set<ModelParameters> impossible = new HashSet<>();
		Optional<ModelParameters> next = nextMissingModel(impossible);
		while (next.isPresent()) {
			ModelParameters model = next.get();
			if (!reserve(bestCompleteReservation(model)) && !reserve(bestPartialReservation(model))) {
				impossible.add(model);
			}
			next = nextMissingModel(impossible);
		}
	}

	private Optional<ModelParameters> nextMissingModel(Set<ModelParameters> impossible) {
		return scarcestModels(this.desiredCounts::desired).stream()
			.filter((model) -> !impossible.contains(model))
			.findFirst();
	}

	private boolean reserve(Optional<Reservation> reservation) {
		reservation.ifPresent((chosen) -> {
			chosen.inventory().removeSpares(chosen.engines());
			addGroup(chosen.model(), chosen.inventory());
			chosen.engines()
				.stream()
				.filter((engine) -> engine.canLoad() && !engine.holds(chosen.model()))
				.forEach((engine) -> this.loads.add(new Load(chosen.model(), engine.entry(), true)));
		});
		return reservation.isPresent();
	}

	// Chooses the domain where a group costs least: first in groups of other models that
	// could no longer be formed there, then in loads.
	private Optional<Reservation> bestCompleteReservation(ModelParameters model) {
		List<String> lackingModels = this.parameters.models()
			.stream()
			.filter(this::lacksGroups)
			.map(ModelParameters::name)
			.toList();
		return this.inventories.stream()
			.map((inventory) -> completeReservation(model, inventory, lackingModels))
			.filter((reservation) -> reservation.engines().size() == model.groupSize())
			.min(Comparator.comparingInt(this::groupsDisplaced)
				.thenComparingLong(Reservation::requiredLoads)
				.thenComparingInt((reservation) -> localGroupCount(model, reservation.inventory()))
				.thenComparingInt((reservation) -> -reservation.inventory().spares().size())
				.thenComparing((reservation) -> reservation.inventory().domain()));
	}

	// Planning a group changes only one domain, so the reservations of the other domains
	// stay valid.
	private Reservation completeReservation(ModelParameters model, DomainInventory inventory,
			List<String> lackingModels) {
		ReservationKey key = new ReservationKey(model.name(), inventory.domain(), lackingModels);
		CachedReservation cached = this.reservationCache.get(key);
		if (cached != null && cached.spareChanges() == inventory.spareChanges()) {
			return cached.reservation();
		}
		Reservation reservation = new Reservation(model, inventory,
				cheapestSpares(model, inventory, this::canChangeModel));
		this.reservationCache.put(key, new CachedReservation(reservation, inventory.spareChanges()));
		return reservation;
	}

	// If pairs were formed of any two engines that become free, no domain would ever have
	// enough engines for a large group again. The domain that has most of the engines is
	// therefore reserved for the group.
	private Optional<Reservation> bestPartialReservation(ModelParameters model) {
		return this.inventories.stream()
			.map((inventory) -> new Reservation(model, inventory, cheapestSpares(model, inventory, (spare) -> false)))
			.filter((reservation) -> reservation.engines().size() >= model.groupSize() * MINIMUM_PARTIAL_SHARE)
			.max(Comparator.comparingInt((Reservation reservation) -> reservation.engines().size())
				.thenComparingLong((reservation) -> -reservation.requiredLoads())
				.thenComparing((reservation) -> reservation.inventory().domain()));
	}

	private static List<SpareEngine> cheapestSpares(ModelParameters model, DomainInventory inventory,
			Predicate<SpareEngine> canChangeModel) {
		return inventory.spares()
			.stream()
			.filter((spare) -> spare.holds(model) || spare.hasNoWeights() || canChangeModel.test(spare))
			.sorted(Comparator.comparingInt((SpareEngine spare) -> assignmentCost(spare, model))
				.thenComparing((spare) -> spare.entry().name()))
			.limit(model.groupSize())
			.toList();
	}

	// An engine keeps its weights while groups of that model are missing: survivors of a
	// group of four are most useful for the next one.
	private boolean canChangeModel(SpareEngine spare) {
		return spare.canLoad() && spare.reassignable()
				&& this.parameters.models().stream().noneMatch((model) -> spare.holds(model) && lacksGroups(model));
	}

	private static int assignmentCost(SpareEngine spare, ModelParameters model) {
		if (spare.holds(model)) {
			return spare.loading().isEmpty() ? 0 : 1;
		}
		return spare.hasNoWeights() ? 2 : 3;
	}

	private int groupsDisplaced(Reservation reservation) {
		int displaced = 0;
		for (ModelParameters other : this.parameters.models()) {
			if (!other.equals(reservation.model()) && lacksGroups(other)) {
				int before = reservation.inventory().spares().size() / other.groupSize();
				int after = (reservation.inventory().spares().size() - reservation.engines().size())
						/ other.groupSize();
				int lackingGroups = this.desiredCounts.desired(other) - groupCount(other);
				displaced += Math.min(before, lackingGroups) - Math.min(after, lackingGroups);
			}
		}
		return displaced;
	}

	// A spare that holds the weights of a lost member replaces it at once; any other
	// spare has to load them first.
	private void planSpareLoads() {
		for (DomainInventory inventory : this.inventories) {
			boolean changed = true;
			while (changed) {
				changed = List.copyOf(inventory.spares())
					.stream()
					.filter(SpareEngine::canLoad)
					.anyMatch((spare) -> planSpareLoad(spare, inventory));
			}
		}
	}

	private boolean planSpareLoad(SpareEngine spare, DomainInventory inventory) {
		ModelParameters scarcest = this.parameters.models()
			.stream()
			.min(Comparator.comparingDouble((ModelParameters model) -> spareCoverage(model, inventory, 0))
				.thenComparing(ModelParameters::name))
			.orElseThrow();
		boolean worthwhile = !spare.holds(scarcest)
				&& (spare.hasNoWeights() || (spare.reassignable() && this.parameters.models()
					.stream()
					.filter(spare::holds)
					.allMatch((held) -> spareCoverage(held, inventory, -1) > spareCoverage(scarcest, inventory, 0))));
		if (worthwhile) {
			inventory.removeSpares(List.of(spare));
			inventory.addSpare(new SpareEngine(spare.entry(), Optional.of(scarcest.name()), true, false));
			this.loads.add(new Load(scarcest, spare.entry(), false));
		}
		return worthwhile;
	}

	// Returns the number of spares per member, because the next loss hits a model as
	// often as it has members.
	private static double spareCoverage(ModelParameters model, DomainInventory inventory, int holderChange) {
		double members = (inventory.groups(model) + MEMBER_OFFSET) * model.groupSize();
		return (inventory.countHolders(model) + holderChange + 0.5) / members;
	}

	/**
	 * The steps that are due.
	 *
	 * @param formations groups to form now
	 * @param loads loads to start, the most urgent first
	 */
	record Steps(List<Formation> formations, List<Load> loads) {
	}

	/**
	 * A group to form.
	 *
	 * @param model its model
	 * @param members its engines, the head first
	 */
	record Formation(ModelParameters model, List<TargetEntry> members) {
	}

	/**
	 * A load to start.
	 *
	 * @param model the model
	 * @param engine the engine whose host loads the weights
	 * @param blocksGroup whether a group cannot be formed before the load has ended
	 */
	record Load(ModelParameters model, TargetEntry engine, boolean blocksGroup) {
	}

	/**
	 * Engines of one domain that are reserved for a group.
	 *
	 * @param model the model of the group
	 * @param inventory the domain
	 * @param engines the engines
	 */
	private record Reservation(ModelParameters model, DomainInventory inventory, List<SpareEngine> engines) {

		private long requiredLoads() {
			return this.engines.stream().filter((engine) -> !engine.holds(this.model)).count();
		}

	}

	/**
	 * The inputs of a reservation besides the domain's spares.
	 *
	 * @param model the model of the group
	 * @param domain the domain
	 * @param lackingModels the models that lack groups
	 */
	private record ReservationKey(String model, String domain, List<String> lackingModels) {
	}

	/**
	 * A reservation that is reused until the spares of its domain change.
	 *
	 * @param reservation the reservation
	 * @param spareChanges the number of changes of the domain's spares when it was made
	 */
	private record CachedReservation(Reservation reservation, int spareChanges) {
	}

	/**
	 * Provides the desired number of groups of each model.
	 */
	interface DesiredGroupCounts {

		/**
		 * Returns the number of groups for which weights are loaded.
		 * @param model the model
		 * @return the number of groups
		 */
		int desired(ModelParameters model);

		/**
		 * Returns the number of groups that are formed where engines hold the weights
		 * already.
		 * @param model the model
		 * @return the number of groups, not less than the desired number
		 */
		int maximum(ModelParameters model);

	}

}
