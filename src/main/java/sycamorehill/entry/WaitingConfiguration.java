package sycamorehill.entry;

import java.util.concurrent.Executor;
import java.util.function.Consumer;

import sycamorehill.model.serving.EntryEffect;

/**
 * The newest configuration that other nodes have sent and that is not parsed yet. Parsing
 * a large one holds up the event loop, and of several that wait only the newest takes
 * effect.
 */
final class WaitingConfiguration {

	private final Executor executor;

	private final Consumer<EntryEffect.ParseConfiguration> parser;

	private EntryEffect.ParseConfiguration newest;

	private WaitingConfiguration(Executor executor, Consumer<EntryEffect.ParseConfiguration> parser) {
		this.executor = executor;
		this.parser = parser;
	}

	/**
	 * Creates an empty place.
	 * @param executor runs the parser after the messages that have arrived already
	 * @param parser parses a configuration
	 * @return the place
	 */
	static WaitingConfiguration of(Executor executor, Consumer<EntryEffect.ParseConfiguration> parser) {
		return new WaitingConfiguration(executor, parser);
	}

	/**
	 * Adds a configuration. An older one that waits is dropped.
	 * @param received the configuration
	 */
	void add(EntryEffect.ParseConfiguration received) {
		boolean scheduled = this.newest != null;
		if (!scheduled || received.version() > this.newest.version()) {
			this.newest = received;
		}
		if (!scheduled) {
			scheduleParsing();
		}
	}

	private void scheduleParsing() {
		try {
			this.executor.execute(this::parseNewest);
		}
		catch (Throwable ex) {
			// Else no configuration of a peer would be parsed any more.
			this.newest = null;
			throw ex;
		}
	}

	private void parseNewest() {
		EntryEffect.ParseConfiguration taken = this.newest;
		this.newest = null;
		this.parser.accept(taken);
	}

}
