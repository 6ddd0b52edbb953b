package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EngineFigures;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;

/**
 * Writes a line a second on how the capacity of a service goes, whatever the load: the
 * first thing to look at when requests were refused.
 */
final class GroupSummary {

	private static final Duration EVERY = Duration.ofSeconds(1);

	private final ServiceName service;

	private Instant written = Instant.MIN;

	private GroupSummary(ServiceName service) {
		this.service = service;
	}

	static GroupSummary of(ServiceName service) {
		return new GroupSummary(service);
	}

	void write(EngineFigures figures, Sight sight, Instant now, Effects effects) {
		if (now.isBefore(this.written.plus(EVERY))) {
			return;
		}
		this.written = now;
		StringBuilder line = new StringBuilder("service=" + this.service);
		for (ModelFigures model : figures.models()) {
			line.append(" serving-").append(model.name()).append('=').append(sight.serving(model));
			line.append(" free-holding-").append(model.name()).append('=').append(sight.holding(model));
		}
		line.append(" forming=").append(sight.forming()).append(" taken-apart=").append(sight.takenApart());
		line.append(" free=").append(sight.free().size()).append(" staging=").append(sight.staging());
		effects.log(LogEvent.GROUP_SUMMARY, line.toString());
	}

	/**
	 * What the controller sees of a service.
	 *
	 * @param standing groups that are not being taken apart
	 * @param free engines in no group
	 * @param forming number of groups being formed
	 * @param takenApart number of groups being taken apart
	 * @param staging number of spares being loaded
	 */
	record Sight(List<GroupView> standing, List<TargetEntry> free, int forming, int takenApart, int staging) {

		private long serving(ModelFigures model) {
			return this.standing.stream().filter((group) -> group.model().equals(model) && group.serving()).count();
		}

		private long holding(ModelFigures model) {
			return this.free.stream().filter((engine) -> engine.staged().contains(model.name())).count();
		}

	}

}
