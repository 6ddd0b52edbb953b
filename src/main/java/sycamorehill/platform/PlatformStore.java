package sycamorehill.platform;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.entry.CallClient;
import sycamorehill.entry.Feed;
import sycamorehill.entry.LeaseStore;
import sycamorehill.entry.NodeRegistry;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EvacuationChange;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.runtime.EventLog;

/**
 * Accesses the platform's metadata store, which holds the configuration, the targets, the
 * entry nodes and the lease on the control of groups.
 */
final class PlatformStore {

	private static final String CONFIGURATIONS = "config";

	private static final String MAIN_CONFIGURATION = "main";

	private static final String TARGETS = "servers";

	private static final String EVACUATIONS = "evacuations";

	private final StoreClient store;

	private final UnreadableObjects unreadable = UnreadableObjects.of(EventLog::write);

	private PlatformStore(StoreClient store) {
		this.store = store;
	}

	static PlatformStore of(CallClient client, Address address, ObjectMapper json) {
		return new PlatformStore(StoreClient.of(client, address, json));
	}

	Feed<StoredConfiguration> configurations() {
		return ObjectFeed.of(this.store, CONFIGURATIONS, PlatformStore::decodeConfiguration, this.unreadable);
	}

	Feed<TargetChange> targets() {
		return ObjectFeed.of(this.store, TARGETS, new TargetChangeDecoder(), this.unreadable);
	}

	Feed<EvacuationChange> evacuations() {
		return ObjectFeed.of(this.store, EVACUATIONS, PlatformStore::decodeEvacuation, this.unreadable);
	}

	NodeRegistry nodes() {
		return StoredNodes.of(this.store, this.unreadable);
	}

	LeaseStore lease() {
		return StoredLease.of(this.store, this.unreadable);
	}

	private static Optional<StoredConfiguration> decodeConfiguration(StoredObject object) {
		if (object.deleted() || !object.name().equals(MAIN_CONFIGURATION)) {
			return Optional.empty();
		}
		JsonNode spec = object.spec();
		return Optional.of(new StoredConfiguration(ConfigurationDecoder.decode(spec), spec.toString()));
	}

	/**
	 * Decodes a configuration.
	 * @param text the configuration as JSON text
	 * @return the configuration
	 * @throws IllegalArgumentException if the text is no valid configuration
	 */
	StoredConfiguration decodeConfiguration(String text) {
		try {
			return new StoredConfiguration(ConfigurationDecoder.decode(this.store.json().readTree(text)), text);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the text of a configuration is no JSON: " + ex.getMessage(), ex);
		}
	}

	// Only the name and the presence of the object matter; its content isn't read.
	private static Optional<EvacuationChange> decodeEvacuation(StoredObject object) {
		return Optional.of(new EvacuationChange(DataCentreName.of(object.name()), !object.deleted()));
	}

	/**
	 * Decodes entries of targets. An unreadable entry is treated like a deleted one: its
	 * target receives no requests.
	 */
	private static final class TargetChangeDecoder implements ObjectFeed.Decoder<TargetChange> {

		@Override
		public Optional<TargetChange> decode(StoredObject object) {
			String name = object.visibleName();
			return Optional.of(new TargetChange(TargetName.of(name),
					object.deleted() ? Optional.empty() : Optional.of(TargetDecoder.decodeEntry(name, object.spec()))));
		}

		@Override
		public Optional<TargetChange> replacement(StoredObject object) {
			try {
				return Optional.of(new TargetChange(TargetName.of(object.visibleName()), Optional.empty()));
			}
			catch (IllegalArgumentException ex) {
				// No target in use has such a name, and the fault is logged already.
				return Optional.empty();
			}
		}

	}

}
