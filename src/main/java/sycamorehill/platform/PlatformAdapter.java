package sycamorehill.platform;

import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.entry.CallClient;
import sycamorehill.entry.EntryPorts;
import sycamorehill.json.BoundedJson;
import sycamorehill.model.serving.EntrySettings;

/**
 * Creates the adapter between an entry node and the users' platform.
 */
public final class PlatformAdapter {

	private PlatformAdapter() {
	}

	/**
	 * Creates the interfaces through which an entry node uses the platform.
	 * @param settings the node's settings
	 * @param client sends calls to the store and to engines
	 * @return the interfaces
	 */
	public static EntryPorts createPorts(EntrySettings settings, CallClient client) {
		ObjectMapper json = BoundedJson.create();
		PlatformStore store = PlatformStore.of(client, settings.storeAddress(), json);
		return new EntryPorts(PlatformExchangeCodec.create(), store.configurations(), store::decodeConfiguration,
				store.targets(), store.nodes(), store.lease(), PlatformEngineClient.of(client, json),
				settings.evacuationTime().map((time) -> store.evacuations()));
	}

}
