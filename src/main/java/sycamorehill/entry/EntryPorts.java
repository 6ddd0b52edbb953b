package sycamorehill.entry;

import java.util.function.Function;

import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;

/**
 * What an entry node speaks to, behind the product's own interfaces.
 *
 * @param codec heads of requests and answers
 * @param configurations the configurations in the store
 * @param configurationReader reads a configuration from its text; fails with an
 * {@link IllegalArgumentException} if it can't
 * @param targets the directory of targets in the store
 * @param nodeRegistry the entry nodes in the store
 * @param leaseStore the lease on the control of groups
 * @param engines calls to engines
 */
public record EntryPorts(ExchangeCodec codec, Feed<StoredConfiguration> configurations,
		Function<String, StoredConfiguration> configurationReader, Feed<TargetChange> targets,
		NodeRegistry nodeRegistry, LeaseStore leaseStore, EnginePort engines) {

	/**
	 * Makes the ports over a client.
	 */
	public interface Factory {

		/**
		 * Makes the ports.
		 * @param client makes calls
		 * @return the ports
		 */
		EntryPorts create(CallClient client);

	}

}
