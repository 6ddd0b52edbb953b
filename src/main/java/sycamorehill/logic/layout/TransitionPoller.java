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
 * Asks the engines that are about to change how far they have come, while the store is
 * away. Their entries would tell it at other times; without them no group that lost a
 * member was replaced for as long as an outage lasted.
 */
final class TransitionPoller {

	/** Pause between two questions: a group forms in 0.2 to 2 s. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

	/** The same for an engine whose host is loading, for 12 s and more. */
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
	 * Asks the engines whose turn it is.
	 * @param engines the engines of the service
	 * @param forming groups that are being formed
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void poll(List<TargetEntry> engines, Collection<FormingGroup> forming, Instant now, Effects effects) {
		for (TargetEntry engine : engines) {
			boolean joining = forming.stream().anyMatch((group) -> group.hasMember(engine.name()));
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
