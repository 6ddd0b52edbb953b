package sycamorehill.logic.entry;

import java.time.Instant;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;

/**
 * Logs when this node receives changes of the store, and from which node.
 */
final class StoreUpdateLog {

	private final StoreRelay relay;

	private final TargetDirectory directory;

	private String reader;

	private StoreUpdateLog(String self, StoreRelay relay, TargetDirectory directory) {
		this.reader = self;
		this.relay = relay;
		this.directory = directory;
	}

	static StoreUpdateLog of(String self, StoreRelay relay, TargetDirectory directory) {
		return new StoreUpdateLog(self, relay, directory);
	}

	/**
	 * Logs the targets that begin to leave. Must be called before the directory applies
	 * the changes.
	 * @param changes the changes of the store
	 * @param now the current time
	 * @param effects receives the log lines
	 */
	void logLeavingTargets(List<TargetChange> changes, Instant now, Effects effects) {
		for (TargetChange change : changes) {
			boolean leaving = change.entry().map(TargetEntry::leaving).orElse(false);
			if (leaving && this.directory.find(change.name()).map((known) -> !known.leaving()).orElse(false)) {
				effects.log(LogEvent.TARGET_NOTICE, "target=" + change.name() + " revision=" + this.relay.revision()
						+ " told-by=" + this.relay.source(now));
			}
		}
	}

	/**
	 * Logs a change of the node that reads the store for this one.
	 * @param now the current time
	 * @param effects receives the log lines
	 */
	void logReaderChange(Instant now, Effects effects) {
		String source = this.relay.source(now);
		if (!source.equals(this.reader)) {
			effects.log(LogEvent.STORE_READER, "node=" + source + " before=" + this.reader);
			this.reader = source;
		}
	}

}
