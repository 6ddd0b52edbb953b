package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.NodeRecord;

/**
 * Chooses the target of a request among those that serve, by what is known of their loads
 * and limits, and decides whether it may be given there.
 */
final class TargetChoice {

	private final ServingTargets serving;

	private final Placement placement;

	private final TargetLoads loads = TargetLoads.create();

	private final TargetLimits limits;

	private TargetChoice(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		this.serving = ServingTargets.of(directory);
		this.placement = Placement.of(settings.dataCentre(), random);
		this.limits = TargetLimits.of(settings.record(), directory);
	}

	static TargetChoice of(EntrySettings settings, TargetDirectory directory, RandomGenerator random) {
		return new TargetChoice(settings, directory, random);
	}

	/**
	 * Chooses a target; many nodes compare a few of them first.
	 * @param request the request
	 * @param known the configuration in force
	 * @param now the present time
	 * @return the target, and whether the request may be given to it
	 */
	Place choose(ActiveRequest request, Configuration known, Instant now) {
		List<Candidate> all = candidates(request, known, now);
		List<Candidate> drawn = this.placement.draw(all);
		Place place = best(request, drawn, now);
		return (place.entrance() == Admission.Entrance.REFUSED && drawn.size() < all.size()) ? best(request, all, now)
				: place;
	}

	/**
	 * Whether any target may be given a request.
	 * @param request the request
	 * @param known the configuration in force
	 * @param now the present time
	 * @return true if there is one
	 */
	boolean possible(ActiveRequest request, Configuration known, Instant now) {
		return best(request, candidates(request, known, now), now).entrance() != Admission.Entrance.REFUSED;
	}

	private List<Candidate> candidates(ActiveRequest request, Configuration known, Instant now) {
		return this.limits.open(this.serving.find(known, request.service(), request.request().model(), now), now);
	}

	private Place best(ActiveRequest request, List<Candidate> candidates, Instant now) {
		Optional<Placement.Choice> choice = this.placement.choose(candidates, request.avoided(), this.loads.known(),
				request.request().size(), now);
		return new Place(choice, choice.map((best) -> entrance(request, best, now)).orElse(Admission.Entrance.REFUSED));
	}

	private Admission.Entrance entrance(ActiveRequest request, Placement.Choice choice, Instant now) {
		Candidate candidate = choice.candidate();
		return Admission.decide(new Admission.Outlook(choice.firstAnswer(), request.route().target(),
				Duration.between(request.arrived(), now), request.timeLeft(now), request.route().timeout(),
				this.loads.requests(candidate.entry().name(), now), candidate.slots(), request.answerBegun()));
	}

	/**
	 * Notes that a request is given to a target.
	 * @param candidate the target
	 * @param now the present time
	 */
	void sent(Candidate candidate, Instant now) {
		TargetName name = candidate.entry().name();
		load(name).sent(candidate.slots());
		this.limits.sent(name, now);
	}

	/**
	 * Notes that a group serves no more, before the directory shows it.
	 * @param group the group's name
	 * @param epoch the group's epoch
	 * @param now the present time
	 */
	void ended(String group, long epoch, Instant now) {
		this.serving.ended(group, epoch, now);
	}

	void nodes(int living, List<NodeRecord> others, Instant now, Effects effects) {
		this.placement.nodes(living);
		this.limits.nodes(others, now, effects);
	}

	/**
	 * Whether so few nodes place requests that each tells the others of every request.
	 * @return true for few nodes
	 */
	boolean fewNodes() {
		return this.placement.fewNodes();
	}

	TargetLoad load(TargetName target) {
		return this.loads.of(target);
	}

	TargetLoads loads() {
		return this.loads;
	}

	TargetLimits limits() {
		return this.limits;
	}

	void forget(TargetName target) {
		this.loads.forget(target);
		this.limits.forget(target);
	}

	/**
	 * Where a request goes.
	 *
	 * @param choice the best target; empty if none may be given work
	 * @param entrance whether it is given there
	 */
	record Place(Optional<Placement.Choice> choice, Admission.Entrance entrance) {
	}

}
