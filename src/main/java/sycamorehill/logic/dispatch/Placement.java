package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.PromptSize;

/**
 * Chooses the target whose first answer is expected soonest.
 */
final class Placement {

	/**
	 * What a target in another data centre must be ahead by: the way there and back
	 * twice, for a new connection and for the request, and the cost of bytes between
	 * them.
	 */
	private static final double OTHER_DATA_CENTRE_MILLIS = 30;

	/** What a target that fails every request would be behind by. */
	private static final double FAILURE_MILLIS = 2000;

	/** Spread of the random part that keeps nodes from choosing alike. */
	private static final double SPREAD_MILLIS = 8;

	/**
	 * How steeply the expected wait grows as a target fills: what is known of its load is
	 * old, so that a target with one free slot often has none.
	 */
	private static final int FILLING = 6;

	/**
	 * Time to a first event that the engines' figures don't explain. First events that
	 * are seen take its place where they take longer.
	 */
	private static final double FIRST_EVENT_MILLIS = 110;

	/** Time in the target when nothing is known of it yet. */
	private static final double UNKNOWN_ANSWER_MILLIS = 30;

	/**
	 * Nodes that may all compare all targets. More of them see the same target free in
	 * reports some hundred milliseconds old, and all send there.
	 */
	private static final int NODES_COMPARING_ALL = 12;

	/**
	 * Targets of the own data centre that one of many nodes compares, drawn anew for each
	 * request: each node finds a target with a free slot, and few nodes the same one.
	 */
	private static final int COMPARED_NEAR = 4;

	/** The same of other data centres, so that a full data centre spills over. */
	private static final int COMPARED_FAR = 1;

	private final DataCentreName own;

	private final RandomGenerator random;

	private int nodes = 1;

	private Placement(DataCentreName own, RandomGenerator random) {
		this.own = own;
		this.random = random;
	}

	static Placement of(DataCentreName own, RandomGenerator random) {
		return new Placement(own, random);
	}

	/**
	 * Notes how many nodes place requests.
	 * @param living the nodes that live
	 */
	void nodes(int living) {
		this.nodes = living;
	}

	/**
	 * Draws the targets that are compared for one request.
	 * @param candidates all targets
	 * @return some of them, or all where few nodes place requests
	 */
	List<Candidate> draw(List<Candidate> candidates) {
		if (fewNodes()) {
			return candidates;
		}
		List<Candidate> drawn = new ArrayList<>();
		drawn.addAll(draw(candidates, true, COMPARED_NEAR));
		drawn.addAll(draw(candidates, false, COMPARED_FAR));
		return drawn;
	}

	private List<Candidate> draw(List<Candidate> candidates, boolean near, int number) {
		List<Candidate> left = new ArrayList<>(candidates);
		left.removeIf((candidate) -> candidate.entry().dataCentre().equals(this.own) != near);
		List<Candidate> drawn = new ArrayList<>();
		while (drawn.size() < number && !left.isEmpty()) {
			drawn.add(left.remove(this.random.nextInt(left.size())));
		}
		return drawn;
	}

	/**
	 * Chooses among targets.
	 * @param candidates the targets
	 * @param avoided targets that have failed this request
	 * @param loads what is known of targets
	 * @param size the request's size
	 * @param now the present time
	 * @return the target expected to answer first; empty if none may be given work
	 */
	Optional<Choice> choose(List<Candidate> candidates, Set<TargetName> avoided, Map<TargetName, TargetLoad> loads,
			Optional<PromptSize> size, Instant now) {
		Choice best = null;
		double least = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			TargetLoad load = loads.get(candidate.entry().name());
			if (avoided.contains(candidate.entry().name()) || (load != null && load.isAside(now))) {
				continue;
			}
			double wait = waitMillis(candidate, load, now);
			double first = wait + runMillis(candidate, load, size, now);
			double score = first + handicap(candidate, load);
			if (score < least) {
				least = score;
				best = new Choice(candidate, millis(wait), millis(first));
			}
		}
		return Optional.ofNullable(best);
	}

	private double handicap(Candidate candidate, TargetLoad load) {
		double handicap = this.random.nextDouble() * SPREAD_MILLIS;
		if (!candidate.entry().dataCentre().equals(this.own)) {
			handicap += OTHER_DATA_CENTRE_MILLIS;
		}
		if (load != null) {
			handicap += load.failureShare() * FAILURE_MILLIS;
		}
		return handicap;
	}

	private static double waitMillis(Candidate candidate, TargetLoad load, Instant now) {
		if (load == null) {
			return 0;
		}
		double slotFreeEvery = answerMillis(candidate, load) / candidate.slots();
		int requests = load.requests(now);
		int ahead = requests + 1 - candidate.slots();
		double queue = (ahead > 0) ? ahead : 0;
		return slotFreeEvery * (queue + Math.pow(Math.min(1, (double) requests / candidate.slots()), FILLING));
	}

	// Time that a request holds its slot.
	private static double answerMillis(Candidate candidate, TargetLoad load) {
		if (candidate.engines().isEmpty()) {
			return (load.firstAnswerMillis() > 0) ? load.firstAnswerMillis() : UNKNOWN_ANSWER_MILLIS;
		}
		EngineFigures engines = candidate.engines().get();
		return engines.usualAnswer() * stepMillis(engines, candidate.model().orElseThrow(), candidate.slots());
	}

	private static double runMillis(Candidate candidate, TargetLoad load, Optional<PromptSize> size, Instant now) {
		if (candidate.engines().isEmpty()) {
			return (load != null && load.firstAnswerMillis() > 0) ? load.firstAnswerMillis() : UNKNOWN_ANSWER_MILLIS;
		}
		EngineFigures engines = candidate.engines().get();
		ModelFigures model = candidate.model().orElseThrow();
		int running = (load != null) ? Math.min(load.requests(now), candidate.slots()) : 0;
		double reading = reading(engines, model, size).toNanos() / 1e6;
		double unread = (load != null) ? load.unread(now).toNanos() / 1e6 : 0;
		double predicted = FIRST_EVENT_MILLIS * model.pace() + unread + reading
				+ engines.stride() * stepMillis(engines, model, running);
		// An engine that is slower than its figures shows in the time of its first
		// events.
		double seen = (load != null) ? load.firstAnswerMillis() : 0;
		return Math.max(predicted, seen + unread);
	}

	/**
	 * Time that a target needs to read a prompt.
	 * @param engines what the engines do
	 * @param model the model
	 * @param size the request's size
	 * @return the time
	 */
	static Duration reading(EngineFigures engines, ModelFigures model, Optional<PromptSize> size) {
		double tokens = size.map(PromptSize::promptTokens).orElse(engines.usualPrompt());
		return millis(tokens / engines.readTokensPerSecond() * 1000 * model.pace());
	}

	/**
	 * Whether so few nodes place requests that each tells the others of every request.
	 * @return true for few nodes
	 */
	boolean fewNodes() {
		return this.nodes <= NODES_COMPARING_ALL;
	}

	private static double stepMillis(EngineFigures engines, ModelFigures model, int running) {
		return engines.step(running, model).toNanos() / 1e6;
	}

	private static Duration millis(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

	/**
	 * A target and when its first answer is expected.
	 *
	 * @param candidate the target
	 * @param queueing time in the target's queue before the request runs
	 * @param firstAnswer time to the first answer
	 */
	record Choice(Candidate candidate, Duration queueing, Duration firstAnswer) {
	}

}
