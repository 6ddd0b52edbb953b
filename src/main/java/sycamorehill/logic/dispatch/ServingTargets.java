package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.GroupViews;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Lists the targets that may receive requests, by service and model. The lists are
 * derived again whenever the directory or the parameters of the service change.
 */
final class ServingTargets {

	private final TargetDirectory directory;

	/**
	 * Requests in flight keep the parameters under which they arrived, so that there may
	 * be several for one service.
	 */
	private final Map<ServiceParameters, List<Candidate>> candidatesByParameters = new HashMap<>();

	private final EndedGroups endedGroups = new EndedGroups();

	private long derivedChanges = -1;

	private ServingTargets(TargetDirectory directory) {
		this.directory = directory;
	}

	static ServingTargets of(TargetDirectory directory) {
		return new ServingTargets(directory);
	}

	/**
	 * Finds the targets of a service that serve a model.
	 * @param service the parameters of the service under which the request arrived
	 * @param model the requested model; plain services ignore it
	 * @param now the current time
	 * @return the targets
	 */
	List<Candidate> find(ServiceParameters service, Optional<String> model, Instant now) {
		if (this.derivedChanges != this.directory.changeCount()) {
			this.candidatesByParameters.clear();
			this.derivedChanges = this.directory.changeCount();
		}
		List<Candidate> all = this.candidatesByParameters.computeIfAbsent(service, this::derive);
		if (model.isEmpty()) {
			return all;
		}
		return all.stream()
			.filter((candidate) -> candidate.model()
				.map((parameters) -> parameters.name().equals(model.get()))
				.orElse(true))
			.filter((candidate) -> !this.endedGroups.contains(candidate.entry().membership(), now))
			.toList();
	}

	void markGroupEnded(String group, long epoch, Instant now) {
		this.endedGroups.add(group, epoch, now);
	}

	private List<Candidate> derive(ServiceParameters service) {
		List<TargetEntry> targets = this.directory.all()
			.stream()
			.filter((entry) -> entry.service().equals(service.name()))
			.toList();
		return service.engines()
			.map((engines) -> groupCandidates(targets, engines))
			.orElseGet(() -> plainCandidates(targets));
	}

	private List<Candidate> groupCandidates(List<TargetEntry> targets, EngineParameters parameters) {
		return GroupViews.of(targets, this.directory.vanished(), parameters)
			.stream()
			.filter(GroupView::serving)
			.map((group) -> new Candidate(group.head(), parameters.slots(), Optional.of(group.model()),
					Optional.of(parameters)))
			.toList();
	}

	private static List<Candidate> plainCandidates(List<TargetEntry> targets) {
		return targets.stream()
			.filter((target) -> !target.leaving())
			.map((target) -> new Candidate(target, target.slots(), Optional.empty(), Optional.empty()))
			.toList();
	}

}
