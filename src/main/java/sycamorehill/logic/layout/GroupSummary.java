package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;

/**
 * Logs the capacity of a service once per second, whatever the load. Its lines are the
 * first thing to check when requests were refused.
 */
final class GroupSummary {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private final ServiceName service;

	private Instant lastWritten = Instant.MIN;

	private GroupSummary(ServiceName service) {
		this.service = service;
	}

	static GroupSummary of(ServiceName service) {
		return new GroupSummary(service);
	}

	void write(EngineParameters parameters, ServiceSnapshot snapshot, Instant now, Effects effects) {
		if (now.isBefore(this.lastWritten.plus(INTERVAL))) {
			return;
		}
		this.lastWritten = now;
		StringBuilder line = new StringBuilder("service=" + this.service);
		for (ModelParameters model : parameters.models()) {
			line.append(" serving-").append(model.name()).append('=').append(snapshot.countServing(model));
			line.append(" desired-").append(model.name()).append('=').append(snapshot.counts().desired(model));
			line.append(" free-holding-").append(model.name()).append('=').append(snapshot.countHolding(model));
		}
		line.append(" forming=")
			.append(snapshot.formingCount())
			.append(" taken-apart=")
			.append(snapshot.disbandingCount());
		line.append(" free=").append(snapshot.freeEngines().size()).append(" staging=").append(snapshot.stagingCount());
		effects.log(LogEvent.GROUP_SUMMARY, line.toString());
	}

	/**
	 * The groups and engines of a service as the controller sees them.
	 *
	 * @param counts the desired number of groups of each model
	 * @param activeGroups groups that are not being disbanded
	 * @param freeEngines engines in no group
	 * @param formingCount number of groups being formed
	 * @param disbandingCount number of groups being disbanded
	 * @param stagingCount number of spares whose hosts are loading weights
	 */
	record ServiceSnapshot(LayoutPlan.DesiredGroupCounts counts, List<GroupView> activeGroups,
			List<TargetEntry> freeEngines, int formingCount, int disbandingCount, int stagingCount) {

		private long countServing(ModelParameters model) {
			return this.activeGroups.stream().filter((group) -> group.model().equals(model) && group.serving()).count();
		}

		private long countHolding(ModelParameters model) {
			return this.freeEngines.stream().filter((engine) -> engine.staged().contains(model.name())).count();
		}

	}

}
