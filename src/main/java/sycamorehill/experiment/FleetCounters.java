package sycamorehill.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import sycamorehill.experiment.ControlFleet.FleetNode;
import sycamorehill.model.platform.PlatformRequest;

/**
 * What the nodes of a fleet have spent since the last reset.
 */
final class FleetCounters {

	private final Map<FleetNode, Spent> spent = new HashMap<>();

	private final Map<String, Integer> calls = new TreeMap<>();

	private long codedNanos;

	private long messages;

	void reset() {
		this.spent.clear();
		this.calls.clear();
		this.codedNanos = 0;
		this.messages = 0;
	}

	void reduced(FleetNode node, long nanos) {
		spent(node).nanos += nanos;
	}

	void sent(FleetNode from, FleetNode to, int bytes) {
		spent(from).bytes += bytes;
		spent(from).frames++;
		spent(to).bytes += bytes;
		spent(to).frames++;
		this.messages++;
	}

	void coded(long nanos) {
		this.codedNanos += nanos;
	}

	void called(PlatformRequest request) {
		this.calls.merge(request.getClass().getSimpleName(), 1, Integer::sum);
	}

	Map<String, Integer> calls() {
		return this.calls;
	}

	Spent spent(FleetNode node) {
		return this.spent.computeIfAbsent(node, (key) -> new Spent());
	}

	/**
	 * The mean time of writing and reading one message.
	 * @return nanoseconds
	 */
	double codingNanos() {
		return (this.messages > 0) ? (double) this.codedNanos / this.messages : 0;
	}

	/**
	 * What one node has spent.
	 */
	static final class Spent {

		private long bytes;

		private long frames;

		private long nanos;

		long bytes() {
			return this.bytes;
		}

		long frames() {
			return this.frames;
		}

		long nanos() {
			return this.nanos;
		}

	}

}
