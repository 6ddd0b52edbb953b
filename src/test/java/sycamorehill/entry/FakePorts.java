package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.TargetAddress;

/**
 * External services of an entry node without a platform behind them.
 */
final class FakePorts {

	private FakePorts() {
	}

	/**
	 * Returns a registry that lists the same nodes always.
	 * @param nodes the nodes
	 * @return the registry
	 */
	static NodeRegistry registry(NodeRecord... nodes) {
		return new FixedRegistry(List.of(nodes));
	}

	/**
	 * Feed of objects that never change.
	 */
	record FixedFeed<T>(List<T> items) implements Feed<T> {

		static <T> FixedFeed<T> of(T item) {
			return new FixedFeed<>(List.of(item));
		}

		@Override
		public CompletableFuture<Page<T>> listCopy() {
			return list();
		}

		@Override
		public CompletableFuture<Page<T>> list() {
			return CompletableFuture.completedFuture(new Page<>(this.items, 1));
		}

		@Override
		public CompletableFuture<Page<T>> changes(long since, Duration wait) {
			return new CompletableFuture<>();
		}

	}

	/**
	 * Registry that lists the same nodes always.
	 */
	record FixedRegistry(List<NodeRecord> nodes) implements NodeRegistry {

		@Override
		public CompletableFuture<Optional<EarlierEntry>> register(NodeRecord node, String incarnation) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletableFuture<List<NodeRecord>> list(boolean consistent) {
			return CompletableFuture.completedFuture(this.nodes);
		}

		@Override
		public CompletableFuture<Void> deregister(String name) {
			return CompletableFuture.completedFuture(null);
		}

	}

	/**
	 * Lease store that is unavailable.
	 */
	static final class UnavailableLeaseStore implements LeaseStore {

		@Override
		public CompletableFuture<LeaseAnswer> read() {
			return CompletableFuture.completedFuture(new LeaseAnswer.Unavailable("test"));
		}

		@Override
		public CompletableFuture<LeaseAnswer> create(String holder) {
			return read();
		}

		@Override
		public CompletableFuture<LeaseAnswer> replace(Lease lease) {
			return read();
		}

	}

	/**
	 * Engines that return no answer.
	 */
	static final class UnreachableEngines implements EnginePort {

		@Override
		public CompletableFuture<EngineCommandAnswer> sendCommand(TargetAddress engine, EngineCommandRequest command,
				long count) {
			return CompletableFuture.completedFuture(EngineCommandAnswer.NOT_KNOWN);
		}

		@Override
		public CompletableFuture<EngineReport> readReport(TargetAddress engine) {
			return CompletableFuture.failedFuture(new ReportUnavailableException(EngineCommandAnswer.NOT_KNOWN));
		}

	}

}
