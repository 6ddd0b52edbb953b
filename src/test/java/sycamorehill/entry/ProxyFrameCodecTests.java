package sycamorehill.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.TokenCounts;
import sycamorehill.model.serving.Workspace;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the encoding of frames between the origin of a request and the node through which
 * it is sent.
 */
class ProxyFrameCodecTests {

	private final ProxyFrameCodec codec = ProxyFrameCodec.create();

	private static ProxiedRequest request(Optional<Workspace> workspace, Optional<TokenCounts> tokenCounts) {
		return new ProxiedRequest("one", "a1", "r", RequestKind.RESUMABLE_STREAM, ServingSamples.ENGINES, workspace, 1,
				Duration.ofMillis(300), Duration.ofSeconds(8), Duration.ofMillis(5999), Duration.ofNanos(1234567),
				Optional.of("small"), tokenCounts, List.of("5c1e07a2", "91bd3f06"), Long.MIN_VALUE,
				Set.of(TargetName.of("h1"), TargetName.of("h2")), true, false, Set.of(), true);
	}

	static List<ProxyFrame> frames() {
		List<ProxyFrame.Header> headers = List.of(new ProxyFrame.Header("Some", "näher"),
				new ProxyFrame.Header("Some", "twice"));
		return List.of(
				new ProxyFrame.Request(
						request(Optional.of(new Workspace(WorkspaceName.of("yard"), 2)),
								Optional.of(new TokenCounts(700, 175))),
						"POST", "/x?y=1", headers, Optional.of("12"), Optional.of("3"), 4000),
				new ProxyFrame.Request(request(Optional.empty(), Optional.empty()), "GET", "/", List.of(),
						Optional.empty(), Optional.empty(), 0),
				new ProxyFrame.Stalled(TargetName.of("h1")), new ProxyFrame.Accepted(), new ProxyFrame.Confirmed(),
				new ProxyFrame.Head(200, "OK", headers, true),
				new ProxyFrame.End(Optional.empty(), new AttemptEnd.NotRun(NotRunCause.NODE_UNAVAILABLE)),
				new ProxyFrame.End(Optional.of(TargetName.of("h1")),
						new AttemptEnd.Delivered(200, Duration.ofMillis(61))),
				new ProxyFrame.End(Optional.of(TargetName.of("h1")), new AttemptEnd.Failed(500)),
				new ProxyFrame.End(Optional.of(TargetName.of("h1")), new AttemptEnd.Unknown("reset", true)),
				new ProxyFrame.End(Optional.of(TargetName.of("h1")), new AttemptEnd.Broken("reset", true, false)));
	}

	@Test
	void roundTripsEveryFrameAndEveryEnd() throws IOException {
		for (ProxyFrame frame : frames()) {
			assertThat(ProxyFrameCodec.read(this.codec.write(frame))).isEqualTo(frame);
		}
		Set<Class<?>> ends = frames().stream()
			.filter(ProxyFrame.End.class::isInstance)
			.map((frame) -> ((ProxyFrame.End) frame).end().getClass())
			.collect(Collectors.toSet());
		assertThat(ends).containsExactlyInAnyOrder(AttemptEnd.class.getPermittedSubclasses());
	}

	@Test
	void roundTripsHomeRegions() throws IOException {
		HomeRegions homes = new HomeRegions(Set.of(RegionName.of("eu"), RegionName.of("us")),
				Set.of(RegionName.of("eu")));
		ProxiedRequest request = request(Optional.of(new Workspace(WorkspaceName.of("yard"), 2)), Optional.empty())
			.withHomes(homes);
		ProxyFrame read = ProxyFrameCodec.read(this.codec
			.write(new ProxyFrame.Request(request, "GET", "/", List.of(), Optional.empty(), Optional.empty(), 0)));
		assertThat(((ProxyFrame.Request) read).request()).isEqualTo(request);
		assertThat(((ProxyFrame.Request) read).request().homes()).isEqualTo(homes);
	}

	// Nodes of earlier versions end a request with its homes, the parts of its prompt, or
	// before them.
	@Test
	void readsRequestsOfEarlierVersions() throws IOException {
		ProxyFrame.Request request = new ProxyFrame.Request(request(Optional.empty(), Optional.empty()), "GET", "/",
				List.of(), Optional.empty(), Optional.empty(), 0);
		byte[] whole = this.codec.write(request);
		byte[] withoutStalls = Arrays.copyOf(whole, whole.length - 1);
		ProxyFrame.Request earlier = request.withStallReports(false);
		assertThat(ProxyFrameCodec.read(withoutStalls)).isEqualTo(earlier);
		byte[] withoutHomes = Arrays.copyOf(withoutStalls, withoutStalls.length - 2);
		assertThat(ProxyFrameCodec.read(withoutHomes)).isEqualTo(earlier);
		int partsBytes = 1 + 2 * (1 + "5c1e07a2".length());
		assertThat(ProxyFrameCodec.read(Arrays.copyOf(withoutHomes, withoutHomes.length - partsBytes)))
			.isEqualTo(earlier.withSharedPromptParts(List.of()));
	}

	@Test
	void roundTripsBytes() throws IOException {
		byte[] bytes = { 0, 1, -1, '\n' };
		assertThat(ProxyFrameCodec.read(this.codec.write(new ProxyFrame.Body(bytes))))
			.isInstanceOfSatisfying(ProxyFrame.Body.class, (body) -> assertThat(body.bytes()).isEqualTo(bytes));
		assertThat(ProxyFrameCodec.read(this.codec.write(new ProxyFrame.Event(OptionalLong.of(7), bytes))))
			.isInstanceOfSatisfying(ProxyFrame.Event.class, (event) -> {
				assertThat(event.number()).hasValue(7);
				assertThat(event.bytes()).isEqualTo(bytes);
			});
		assertThat(ProxyFrameCodec.read(this.codec.write(new ProxyFrame.Event(OptionalLong.empty(), bytes))))
			.isInstanceOfSatisfying(ProxyFrame.Event.class, (event) -> assertThat(event.number()).isEmpty());
	}

	// A frame that was cut off, or that claims to be larger than it is.
	@Test
	void refusesDamagedFrames() throws IOException {
		byte[] whole = this.codec.write(frames().get(0));
		for (int length = 0; length < whole.length; length += 7) {
			byte[] cut = Arrays.copyOf(whole, length);
			assertThatThrownBy(() -> ProxyFrameCodec.read(cut)).isInstanceOf(Exception.class);
		}
		byte[] body = this.codec.write(new ProxyFrame.Body(new byte[8]));
		body[body.length - 9] = (byte) 200;
		assertThatThrownBy(() -> ProxyFrameCodec.read(body)).isInstanceOf(Exception.class);
	}

}
