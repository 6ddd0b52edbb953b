package sycamorehill.platform;

import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.entry.CallClient;
import sycamorehill.entry.EntryPorts;
import sycamorehill.model.serving.EntrySettings;

/**
 * Puts the adapter together.
 */
public final class PlatformAdapter {

	private PlatformAdapter() {
	}

	/**
	 * Makes what an entry node speaks to.
	 * @param settings the node's settings
	 * @param client makes calls
	 * @return the ports
	 */
	public static EntryPorts createPorts(EntrySettings settings, CallClient client) {
		ObjectMapper json = new ObjectMapper();
		PlatformStore store = PlatformStore.of(client, settings.storeAddress(), json);
		return new EntryPorts(PlatformExchangeCodec.create(), store.configurations(), store::decodeConfiguration,
				store.targets(), store, store, PlatformEngineClient.of(client, json));
	}

}
