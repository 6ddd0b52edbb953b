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
 * Reads the VM list over HTTP, as specified in docs/WIRE.md.
 */
public final class HttpVmListClient implements VmListClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private final BufferedHttpClient httpClient;

	private final Address address;

	private final ObjectMapper json;

	private HttpVmListClient(BufferedHttpClient httpClient, Address address, ObjectMapper json) {
		this.httpClient = httpClient;
		this.address = address;
		this.json = json;
	}

	/**
	 * Creates a client.
	 * @param httpClient sends the HTTP calls
	 * @param address the platform's address
	 * @param json decodes the answers
	 * @return the client
	 */
	public static HttpVmListClient create(BufferedHttpClient httpClient, Address address, ObjectMapper json) {
		return new HttpVmListClient(httpClient, address, json);
	}

	@Override
	public CompletableFuture<List<VmEntry>> read(DataCentreName dataCentre) {
		String name = URLEncoder.encode(dataCentre.value(), StandardCharsets.UTF_8);
		return this.httpClient.call(HttpCall.of(this.address, "GET", "/v1/vms?dataCentre=" + name, TIMEOUT))
			.thenApply(this::decodeEntries);
	}

	private List<VmEntry> decodeEntries(HttpAnswer answer) {
		if (answer.status() != OK) {
			throw new IllegalStateException("the VM list answered " + answer.status());
		}
		try {
			return this.json.readValue(answer.body(), VmListBody.class).vms().stream().map(VmBody::toEntry).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private record VmListBody(List<VmBody> vms) {

	}

	private record VmBody(String name, String dataCentre, String domain, String host, int port, VmStatus status,
			String instance) {

		VmEntry toEntry() {
			return new VmEntry(VmName.of(this.name), DataCentreName.of(this.dataCentre), FabricDomain.of(this.domain),
					Address.of(this.host, this.port), this.status, this.instance);
		}

	}

}
