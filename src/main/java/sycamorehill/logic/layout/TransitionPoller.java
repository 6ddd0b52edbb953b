package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.GroupView;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;

/**
 * Polls the engines that are about to change state while the store is unreachable. While
 * the store is reachable, directory entries show these changes. Without polling, no group
 * that lost a member would be replaced during an outage of the store.
 */
final class TransitionPoller {

	/** Interval between two polls; a group forms in 0.2 to 2 s. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

	/**
	 * Interval between two polls of an engine whose host is loading weights, which takes
	 * 12 s or more.
	 */
	private static final Duration LOADING_POLL_INTERVAL = Duration.ofSeconds(2);

	private final EngineCommandSender commandSender;

	private final WeightLoadTracker loads;

	private final Map<TargetName, Instant> lastPolled = new HashMap<>();

	private TransitionPoller(EngineCommandSender commandSender, WeightLoadTracker loads) {
		this.commandSender = commandSender;
		this.loads = loads;
	}

	static TransitionPoller of(EngineCommandSender commandSender, WeightLoadTracker loads) {
		return new TransitionPoller(commandSender, loads);
	}

	/**
	 * Polls the engines that are due.
	 * @param engines the engines of the service
	 * @param formingGroups the groups that are being formed
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void poll(List<TargetEntry> engines, Collection<FormingGroup> formingGroups, Instant now, Effects effects) {
		for (TargetEntry engine : engines) {
			boolean joining = formingGroups.stream().anyMatch((group) -> group.hasMember(engine.name()));
			if (joining || isUnopenedHead(engine)) {
				poll(engine, POLL_INTERVAL, now, effects);
			}
			else if (this.loads.loadingModel(engine).isPresent()) {
				poll(engine, LOADING_POLL_INTERVAL, now, effects);
			}
		}
	}

	private static boolean isUnopenedHead(TargetEntry engine) {
		return engine.membership()
			.filter((membership) -> membership.rank() == 0 && GroupView.memberState(engine) != MemberState.OPEN)
			.isPresent();
	}

	private void poll(TargetEntry engine, Duration interval, Instant now, Effects effects) {
		Instant polledAt = this.lastPolled.getOrDefault(engine.name(), Instant.MIN);
		if (this.commandSender.isFree(engine, now) && now.isAfter(polledAt.plus(interval))) {
			this.lastPolled.put(engine.name(), now);
			this.commandSender.requestReport(engine, now, effects);
		}
	}

}
