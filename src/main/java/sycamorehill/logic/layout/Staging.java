package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Keeps weights ready on the hosts of spare engines. A member with the weights on its
 * host joins in 1 to 2 s, one without in 12 to 16 s and more while many load.
 */
final class Staging {

	/** A load that did not show after so many times its length is taken as lost. */
	private static final int LOAD_TIMES = 5;

	/**
	 * A spare that holds what is not needed is loaded anew after it was free for so long.
	 */
	private static final Duration CHANGE_AFTER = Duration.ofSeconds(5);

	private final Map<TargetName, Load> loads = new HashMap<>();

	private Staging() {
	}

	static Staging create() {
		return new Staging();
	}

	void clear() {
		this.loads.clear();
	}

	void begun(TargetEntry engine, ModelFigures model, Instant now) {
		this.loads.put(engine.name(), new Load(model, engine.bornMillis(), now));
	}

	void refused(TargetName engine) {
		this.loads.remove(engine);
	}

	int running() {
		return this.loads.size();
	}

	/**
	 * Forgets loads that show in the directory, and those that were lost.
	 * @param engines all engines of the service
	 * @param now the present time
	 */
	void look(List<TargetEntry> engines, Instant now) {
		Map<TargetName, TargetEntry> present = new HashMap<>();
		engines.forEach((engine) -> present.put(engine.name(), engine));
		this.loads.entrySet().removeIf((each) -> {
			TargetEntry engine = present.get(each.getKey());
			Load load = each.getValue();
			return engine == null || engine.bornMillis() != load.bornMillis()
					|| engine.staged().contains(load.model().name())
					|| now.isAfter(load.since().plus(load.model().coldLoad().multipliedBy(LOAD_TIMES)));
		});
	}

	/**
	 * Proposes the next load: in each domain the spares hold the models in about the
	 * ratio of the engines that serve them there.
	 * @param spares engines that are free
	 * @param members engines in groups
	 * @param figures what the engines do
	 * @param freeSince since when each spare is free
	 * @param now the present time
	 * @return the load to begin, if any is worth it
	 */
	Optional<Proposal> next(List<TargetEntry> spares, List<TargetEntry> members, EngineFigures figures,
			Map<TargetName, Instant> freeSince, Instant now) {
		for (TargetEntry spare : spares) {
			if (this.loads.containsKey(spare.name()) || spare.domain().isEmpty()) {
				continue;
			}
			ModelFigures wanted = mostWanted(spare, spares, members, figures);
			if (spare.staged().contains(wanted.name())) {
				continue;
			}
			boolean longFree = now.isAfter(freeSince.getOrDefault(spare.name(), now).plus(CHANGE_AFTER));
			boolean surplus = spare.staged()
				.stream()
				.allMatch((held) -> spares.stream()
					.filter((other) -> holds(other, held) && sameDomain(other, spare))
					.count() > 1);
			if (spare.staged().isEmpty() || (longFree && surplus)) {
				return Optional.of(new Proposal(spare, wanted));
			}
		}
		return Optional.empty();
	}

	private ModelFigures mostWanted(TargetEntry spare, List<TargetEntry> spares, List<TargetEntry> members,
			EngineFigures figures) {
		return figures.models().stream().min(Comparator.comparingDouble((ModelFigures model) -> {
			long ready = spares.stream()
				.filter((other) -> !other.name().equals(spare.name()) && sameDomain(other, spare)
						&& (holds(other, model.name())))
				.count();
			long serving = members.stream()
				.filter((other) -> sameDomain(other, spare) && other.staged().contains(model.name()))
				.count();
			return (ready + 0.5) / (serving + 0.1 * model.size());
		}).thenComparing(ModelFigures::name)).orElseThrow();
	}

	private boolean holds(TargetEntry engine, String model) {
		Load load = this.loads.get(engine.name());
		return (load != null) ? load.model().name().equals(model) : engine.staged().contains(model);
	}

	private static boolean sameDomain(TargetEntry one, TargetEntry other) {
		return one.domain().equals(other.domain());
	}

	/**
	 * A load to begin.
	 *
	 * @param engine the spare engine
	 * @param model the model
	 */
	record Proposal(TargetEntry engine, ModelFigures model) {
	}

	/**
	 * A load under way.
	 *
	 * @param model the model
	 * @param bornMillis the engine's life
	 * @param since when it was ordered
	 */
	private record Load(ModelFigures model, long bornMillis, Instant since) {
	}

}
