package sycamorehill.logic.order;

import java.time.Instant;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Reducer;
import sycamorehill.logic.Step;
import sycamorehill.model.event.Event;

/**
 * At-most-once orders by claims.
 */
public final class OrderReducer implements Reducer<OrderState> {

	private OrderReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer
	 */
	public static OrderReducer create() {
		return new OrderReducer();
	}

	@Override
	public Step<OrderState> reduce(OrderState state, Instant now, Event event, NodeView view) {
		return Step.of(state);
	}

}
