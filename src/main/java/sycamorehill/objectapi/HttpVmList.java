package sycamorehill.objectapi;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;

import sycamorehill.http.BufferedHttpClient;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpCall;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * The VM list over HTTP, as docs/WIRE.md gives it.
 */
public final class HttpVmList implements VmListClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private final BufferedHttpClient caller;

	private final Address address;

	private final ObjectMapper json;

	private HttpVmList(BufferedHttpClient caller, Address address, ObjectMapper json) {
		this.caller = caller;
		this.address = address;
		this.json = json;
	}

	/**
	 * Creates the adapter.
	 * @param caller makes the calls
	 * @param address where the platform listens
	 * @param json reads bodies
	 * @return the adapter
	 */
	public static HttpVmList create(BufferedHttpClient caller, Address address, ObjectMapper json) {
		return new HttpVmList(caller, address, json);
	}

	@Override
	public CompletableFuture<List<VmEntry>> read(DataCentreName dataCentre) {
		String name = URLEncoder.encode(dataCentre.value(), StandardCharsets.UTF_8);
		return this.caller.call(HttpCall.of(this.address, "GET", "/v1/vms?dataCentre=" + name, TIMEOUT))
			.thenApply(this::entries);
	}

	private List<VmEntry> entries(HttpAnswer answer) {
		if (answer.status() != OK) {
			throw new IllegalStateException("the VM list answered " + answer.status());
		}
		try {
			return this.json.readValue(answer.body(), VmListBody.class).vms().stream().map(VmBody::entry).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private record VmListBody(List<VmBody> vms) {

	}

	private record VmBody(String name, String dataCentre, String domain, String host, int port, VmStatus status,
			String instance) {

		VmEntry entry() {
			return new VmEntry(VmName.of(this.name), DataCentreName.of(this.dataCentre), FabricDomain.of(this.domain),
					Address.of(this.host, this.port), this.status, this.instance);
		}

	}

}
