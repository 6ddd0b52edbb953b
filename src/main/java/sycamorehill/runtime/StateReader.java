package sycamorehill.runtime;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;

import sycamorehill.logic.node.NodeState;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.operator.NodeReader;

/**
 * Answers operators' queries from the last published state, without involving the control
 * thread.
 */
record StateReader(Supplier<NodeState> state, MetricRegistry registry) implements NodeReader {

	@Override
	public Optional<DesiredState> desiredState() {
		return this.state.get().desiredState();
	}

	@Override
	public Optional<DesiredState> desiredStateAfter(long number) {
		return this.state.get().ticket().log().stateAfter(number);
	}

	@Override
	public List<Ticket> tickets() {
		return this.state.get().tickets();
	}

	@Override
	public Object dump() {
		return NodeDump.of(this.state.get());
	}

	@Override
	public Object metrics() {
		return MetricsSnapshot.of(this.registry);
	}

}
