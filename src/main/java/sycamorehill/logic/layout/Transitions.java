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
final class Transitions {

	/** Pause between two questions: a group forms in 0.2 to 2 s. */
	private static final Duration ASK_AGAIN = Duration.ofMillis(250);

	/** The same for an engine whose host is loading, for 12 s and more. */
	private static final Duration ASK_LOADING_AGAIN = Duration.ofSeconds(2);

	private final EngineOrders orders;

	private final WeightLoads loads;

	private final Map<TargetName, Instant> asked = new HashMap<>();

	private Transitions(EngineOrders orders, WeightLoads loads) {
		this.orders = orders;
		this.loads = loads;
	}

	static Transitions of(EngineOrders orders, WeightLoads loads) {
		return new Transitions(orders, loads);
	}

	/**
	 * Asks the engines whose turn it is.
	 * @param engines the engines of the service
	 * @param forming groups that are being formed
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void ask(List<TargetEntry> engines, Collection<FormingGroup> forming, Instant now, Effects effects) {
		for (TargetEntry engine : engines) {
			boolean joining = forming.stream().anyMatch((group) -> group.hasMember(engine.name()));
			if (joining || opening(engine)) {
				ask(engine, ASK_AGAIN, now, effects);
			}
			else if (this.loads.loading(engine).isPresent()) {
				ask(engine, ASK_LOADING_AGAIN, now, effects);
			}
		}
	}

	private static boolean opening(TargetEntry engine) {
		return engine.membership()
			.filter((seat) -> seat.rank() == 0 && GroupView.memberState(engine) != MemberState.OPEN)
			.isPresent();
	}

	private void ask(TargetEntry engine, Duration pause, Instant now, Effects effects) {
		Instant last = this.asked.getOrDefault(engine.name(), Instant.MIN);
		if (this.orders.free(engine, now) && now.isAfter(last.plus(pause))) {
			this.asked.put(engine.name(), now);
			this.orders.ask(engine, now, effects);
		}
	}

}
