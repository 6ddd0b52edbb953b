package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.directory.GroupView;
import sycamorehill.logic.directory.GroupViews;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Lists the targets that may receive requests, by service and model. The lists are
 * derived again whenever the directory or the configuration changes.
 */
final class ServingTargets {

	private final TargetDirectory directory;

	private final Map<ServiceName, List<Candidate>> candidatesByService = new HashMap<>();

	private final EndedGroups endedGroups = new EndedGroups();

	private long derivedChanges = -1;

	private Configuration derivedConfiguration;

	private ServingTargets(TargetDirectory directory) {
		this.directory = directory;
	}

	static ServingTargets of(TargetDirectory directory) {
		return new ServingTargets(directory);
	}

	/**
	 * Finds the targets of a service that serve a model.
	 * @param configuration the configuration in effect
	 * @param service the service
	 * @param model the requested model; plain services ignore it
	 * @param now the current time
	 * @return the targets
	 */
	List<Candidate> find(Configuration configuration, ServiceName service, Optional<String> model, Instant now) {
		if (this.derivedChanges != this.directory.changeCount() || this.derivedConfiguration != configuration) {
			derive(configuration);
		}
		List<Candidate> all = this.candidatesByService.getOrDefault(service, List.of());
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

	private void derive(Configuration configuration) {
		this.candidatesByService.clear();
		Map<ServiceName, List<TargetEntry>> entries = new HashMap<>();
		for (TargetEntry entry : this.directory.all()) {
			entries.computeIfAbsent(entry.service(), (service) -> new ArrayList<>()).add(entry);
		}
		entries.forEach((service, targets) -> {
			Optional<EngineParameters> engines = configuration.service(service).flatMap(ServiceParameters::engines);
			this.candidatesByService.put(service,
					engines.map((parameters) -> groupCandidates(targets, parameters)).orElse(plainCandidates(targets)));
		});
		this.derivedChanges = this.directory.changeCount();
		this.derivedConfiguration = configuration;
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
