package sycamorehill.entry;

import java.util.Optional;
import java.util.function.Function;

import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;

/**
 * External services that an entry node uses, behind interfaces of this project.
 *
 * @param codec translates the heads of requests and answers
 * @param configurations the configurations in the store
 * @param configurationReader parses the text of a configuration; throws an
 * {@link IllegalArgumentException} if it is invalid
 * @param targets the directory of targets in the store
 * @param nodeRegistry the registry of entry nodes in the store
 * @param leaseStore the lease of the group controller in the store
 * @param engines sends calls to engines
 * @param evacuations the evacuations in the store; empty if no data centre is ever
 * evacuated
 */
public record EntryPorts(ExchangeCodec codec, Feed<StoredConfiguration> configurations,
		Function<String, StoredConfiguration> configurationReader, Feed<TargetChange> targets,
		NodeRegistry nodeRegistry, LeaseStore leaseStore, EnginePort engines,
		Optional<Feed<EvacuationChange>> evacuations) {

	/**
	 * Creates the ports of a deployment without evacuations.
	 * @param codec translates the heads of requests and answers
	 * @param configurations the configurations in the store
	 * @param configurationReader parses the text of a configuration
	 * @param targets the directory of targets in the store
	 * @param nodeRegistry the registry of entry nodes in the store
	 * @param leaseStore the lease of the group controller in the store
	 * @param engines sends calls to engines
	 */
	public EntryPorts(ExchangeCodec codec, Feed<StoredConfiguration> configurations,
			Function<String, StoredConfiguration> configurationReader, Feed<TargetChange> targets,
			NodeRegistry nodeRegistry, LeaseStore leaseStore, EnginePort engines) {
		this(codec, configurations, configurationReader, targets, nodeRegistry, leaseStore, engines, Optional.empty());
	}

	/**
	 * Creates the ports from an HTTP client.
	 */
	public interface Factory {

		/**
		 * Creates the ports.
		 * @param client the HTTP client
		 * @return the ports
		 */
		EntryPorts create(CallClient client);

	}

}
