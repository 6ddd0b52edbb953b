package sycamorehill.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class StandInClusterTests {

	private static final ServiceName DESK = ServiceName.of("desk");

	private final StandInCluster cluster = StandInCluster
		.start(StandInSettings.small(List.of(DataCentreName.of("one")), List.of(DESK)));

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@AfterEach
	void close() {
		this.cluster.close();
	}

	@Test
	void aCreateOfAnObjectThatExistsIsRefused() throws Exception {
		HttpResponse<String> first = put("If-None-Match", "*", "{\"value\": 1}");
		HttpResponse<String> second = put("If-None-Match", "*", "{\"value\": 2}");
		assertThat(List.of(first.statusCode(), second.statusCode())).containsExactly(200, 412);
	}

	@Test
	void anUpdateNeedsTheVersionInForce() throws Exception {
		String version = put("If-None-Match", "*", "{\"value\": 1}").headers().firstValue("ETag").orElseThrow();
		assertThat(put("If-Match", version, "{\"value\": 2}").statusCode()).isEqualTo(200);
		assertThat(put("If-Match", version, "{\"value\": 3}").statusCode()).isEqualTo(412);
		assertThat(get(platform("/v1/objects/tickets/1")).body()).isEqualTo("{\"value\": 2}");
	}

	@Test
	void aWatchIsAnsweredByTheNextWrite() throws Exception {
		CompletableFuture<HttpResponse<String>> watch = this.client.sendAsync(
				HttpRequest.newBuilder(platform("/v1/watch/tickets?after=0&wait=30")).build(),
				HttpResponse.BodyHandlers.ofString());
		put("If-None-Match", "*", "{\"value\": 1}");
		assertThat(watch.join().body()).contains("\"name\": \"1\"").contains("\"value\": {\"value\": 1}");
	}

	@Test
	void aThrottledWriteHasNoEffect() throws Exception {
		fault("platform", "throttle");
		assertThat(put("If-None-Match", "*", "{}").statusCode()).isEqualTo(429);
		fault("platform", "clear");
		assertThat(get(platform("/v1/objects/tickets/1")).statusCode()).isEqualTo(404);
	}

	@Test
	void aLostAnswerLeavesTheWriteInEffect() throws Exception {
		fault("platform", "lose-answers");
		assertThatThrownBy(() -> put("If-None-Match", "*", "{}")).isInstanceOf(IOException.class);
		fault("platform", "clear");
		assertThat(get(platform("/v1/objects/tickets/1")).statusCode()).isEqualTo(200);
	}

	@Test
	void theVmListNamesAllVms() throws Exception {
		assertThat(get(platform("/v1/vms?dataCentre=one")).body()).contains("one-vm-00", "one-vm-05", "LIVE");
	}

	@Test
	void theHeadOfAReadyGroupStreamsItsTokens() throws Exception {
		joinAndAwaitReady(1, 0, 1, 2);
		String body = complete(0, 1, "hello", 3).body();
		assertThat(body).contains(TokenText.token("hello", 0), TokenText.token("hello", 2), "\"end\": true");
	}

	@Test
	void aMemberThatIsNotTheHeadRefuses() throws Exception {
		joinAndAwaitReady(1, 0, 1, 2);
		HttpResponse<String> answer = complete(1, 1, "hello", 3);
		assertThat(answer.headers().firstValue("Not-Run")).contains("true");
	}

	@Test
	void anotherGenerationIsRefused() throws Exception {
		joinAndAwaitReady(1, 0, 1, 2);
		assertThat(complete(0, 2, "hello", 3).statusCode()).isEqualTo(409);
	}

	@Test
	void aStreamBreaksWhenAMemberCrashes() throws Exception {
		joinAndAwaitReady(1, 0, 1, 2);
		HttpResponse<Stream<String>> answer = this.client.send(completion(0, 1, "hello", 5000),
				HttpResponse.BodyHandlers.ofLines());
		fault("vm:one-vm-02", "crash");
		assertThatThrownBy(() -> answer.body().collect(Collectors.toList())).hasCauseInstanceOf(IOException.class);
		assertThat(complete(0, 1, "hello", 3).headers().firstValue("Not-Run")).contains("true");
	}

	@Test
	void anOldFencingNumberIsRefused() throws Exception {
		join(0, 5, 1, List.of("one-vm-00"));
		assertThat(join(0, 4, 2, List.of("one-vm-00")).statusCode()).isEqualTo(409);
	}

	@Test
	void anEngineMadeToIgnoreFencingTakesAnOldNumber() throws Exception {
		join(0, 5, 1, List.of("one-vm-00"));
		fault("vm:one-vm-00", "ignore-fencing");
		assertThat(join(0, 4, 2, List.of("one-vm-00")).statusCode()).isEqualTo(202);
	}

	@Test
	void aRestartedEngineAnswersUnderANewInstance() throws Exception {
		fault("vm:one-vm-00", "crash");
		assertThatThrownBy(() -> get(engine(0, "/engine/report"))).isInstanceOf(IOException.class);
		fault("vm:one-vm-00", "restart");
		assertThat(get(engine(0, "/engine/report")).body()).contains("\"instance\":\"one-vm-00-1\"");
	}

	@Test
	void aPoisonousPromptCrashesTheHead() throws Exception {
		joinAndAwaitReady(1, 0, 1, 2);
		assertThatThrownBy(() -> complete(0, 1, "a POISON b", 3)).isInstanceOf(IOException.class);
		assertThatThrownBy(() -> get(engine(0, "/engine/report"))).isInstanceOf(IOException.class);
	}

	@Test
	void aPlainServiceRecordsARunWhoseAnswerIsLost() throws Exception {
		fault("plain:desk-one", "lose-answers");
		Address address = this.cluster.plainTargets().get(DESK).get(0).address();
		HttpRequest order = HttpRequest.newBuilder(URI.create("http://" + address + "/orders"))
			.header("Idempotency-Key", "k1")
			.POST(HttpRequest.BodyPublishers.ofString("two bales"))
			.build();
		assertThatThrownBy(() -> this.client.send(order, HttpResponse.BodyHandlers.ofString()))
			.isInstanceOf(IOException.class);
		assertThat(get(URI.create("http://" + address + "/stand-in/runs")).body()).contains("\"k1\"");
	}

	private HttpResponse<String> put(String condition, String value, String body) throws Exception {
		return send(HttpRequest.newBuilder(platform("/v1/objects/tickets/1"))
			.header(condition, value)
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build());
	}

	private void fault(String target, String fault) throws Exception {
		String body = "{\"target\": \"" + target + "\", \"fault\": \"" + fault + "\", \"share\": 1.0, \"seed\": 1}";
		HttpResponse<String> answer = send(
				HttpRequest.newBuilder(platform("/faults")).POST(HttpRequest.BodyPublishers.ofString(body)).build());
		assertThat(answer.statusCode()).isEqualTo(200);
	}

	private void joinAndAwaitReady(long generation, int... vms) throws Exception {
		List<String> members = Arrays.stream(vms).mapToObj((vm) -> "one-vm-0" + vm).toList();
		for (int vm : vms) {
			assertThat(join(vm, 1, generation, members).statusCode()).isEqualTo(202);
		}
		for (int vm : vms) {
			while (!get(engine(vm, "/engine/report")).body().contains("READY")) {
				Thread.sleep(Duration.ofMillis(20).toMillis());
			}
		}
	}

	private HttpResponse<String> join(int vm, long fence, long generation, List<String> members) throws Exception {
		String names = members.stream().map((name) -> "\"" + name + "\"").collect(Collectors.joining(", "));
		String body = "{\"type\": \"join\", \"group\": {\"set\": \"s\", \"ordinal\": 0, \"generation\": " + generation
				+ "}, \"members\": [" + names + "], \"model\": \"m\", \"modelVersion\": \"1\", \"fencingNumber\": "
				+ fence + "}";
		return send(HttpRequest.newBuilder(engine(vm, "/engine/orders"))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build());
	}

	private HttpResponse<String> complete(int vm, long generation, String prompt, int tokens) throws Exception {
		return send(completion(vm, generation, prompt, tokens));
	}

	private HttpRequest completion(int vm, long generation, String prompt, int tokens) {
		String body = "{\"prompt\": \"" + prompt + "\", \"maximumTokens\": " + tokens + ", \"resumeFrom\": 0}";
		return HttpRequest.newBuilder(engine(vm, "/engine/completions"))
			.header("Sycamorehill-Attempt", "a1")
			.header("Group-Generation", String.valueOf(generation))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
	}

	private HttpResponse<String> get(URI uri) throws Exception {
		return send(HttpRequest.newBuilder(uri).build());
	}

	private HttpResponse<String> send(HttpRequest request) throws Exception {
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private URI platform(String path) {
		return URI.create("http://" + this.cluster.platformAddress() + path);
	}

	private URI engine(int vm, String path) {
		VmEntry entry = this.cluster.engines().get(vm);
		return URI.create("http://" + entry.address() + path);
	}

}
