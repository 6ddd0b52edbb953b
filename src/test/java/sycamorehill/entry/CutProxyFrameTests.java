package sycamorehill.entry;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.NotRunCause;
import sycamorehill.model.serving.ProxiedRequest;
import sycamorehill.model.serving.TargetEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the node "one", which reaches no target, before other nodes whose connections end
 * at each byte of the frames that carry an answer, by a close and by a reset.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutProxyFrameTests {

	private static final String PREFIX = "cut-";

	/**
	 * More than the cuts that the node meets while it avoids the other node of the first.
	 */
	private static final int OTHER_NODES = 3000;

	private static final int CALLERS = 4;

	private static final Address UNREACHABLE = Address.of("127.0.0.1", 1);

	private static final int WARM_UP_REQUESTS = 8;

	private static final int SETTLING_MILLIS = 500;

	private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();

	private ServerSocket server;

	private LoopbackCluster cluster;

	@BeforeAll
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		startThread(this::accept);
		Address proxy = Address.of("127.0.0.1", this.server.getLocalPort());
		List<NodeRecord> others = IntStream.range(0, OTHER_NODES)
			.mapToObj((number) -> new NodeRecord("other" + number, UNREACHABLE, DataCentreName.of("north"), 0.75,
					Optional.of(proxy)))
			.toList();
		this.cluster = LoopbackCluster.start(LoopbackCluster::hello,
				(request) -> LoopbackCluster.events(request, 1, 2, true), others, "one");
		this.cluster.changeTargets((entry) -> Optional.of(unreachable(entry)));
		for (int request = 0; request < WARM_UP_REQUESTS; request++) {
			assertThat(this.cluster.ask("one", "/again/x", "warm" + request)).startsWith("HTTP/1.1 ");
			assertThat(this.cluster.ask("one", "/stream/x", "warm" + request)).startsWith("HTTP/1.1 ");
		}
		Thread.sleep(SETTLING_MILLIS);
	}

	@AfterAll
	void close() throws IOException {
		this.server.close();
		this.cluster.close();
	}

	// A port that is closed could be opened by another process meanwhile.
	private static TargetEntry unreachable(TargetEntry entry) {
		return new TargetEntry(entry.name(), entry.service(), UNREACHABLE, entry.dataCentre(), entry.slots(),
				entry.leaving(), entry.startMillis(), entry.domain(), entry.staged(), entry.loaded(),
				entry.membership(), entry.warmUpLeft());
	}

	private static void startThread(Runnable work) {
		Thread thread = new Thread(work, "other-node");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				startThread(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			DataInputStream in = new DataInputStream(socket.getInputStream());
			boolean open = true;
			ProxiedRequest request = null;
			while (open) {
				byte[] bytes = new byte[in.readInt()];
				in.readFully(bytes);
				ProxyFrame frame = ProxyFrameCodec.read(bytes);
				if (frame instanceof ProxyFrame.Request received) {
					request = received.request();
				}
				else {
					open = answer(request, frame instanceof ProxyFrame.Confirmed, socket);
				}
			}
		}
		catch (EOFException | SocketException ex) {
			// The node closed the connection.
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private boolean answer(ProxiedRequest request, boolean confirmed, Socket socket) throws IOException {
		if (!request.identifier().startsWith(PREFIX)) {
			socket.getOutputStream()
				.write(bytes(new ProxyFrame.Accepted(), FrameAnswer.head(request.kind().isStreaming()),
						FrameAnswer.delivered()));
			return true;
		}
		FrameCut cut = FrameCut.parse(request.identifier());
		if (cut.answer().confirmed != confirmed) {
			socket.getOutputStream().write(bytes(new ProxyFrame.Accepted()));
			return true;
		}
		this.cutRequests.add(request.identifier());
		socket.getOutputStream().write(cut.answer().bytes(), 0, cut.bytes());
		socket.setSoLinger(cut.reset(), 0);
		return cut.isWhole();
	}

	private static ProxyFrame notRun(NotRunCause cause) {
		return new ProxyFrame.End(Optional.of(TargetName.of("p0")), new AttemptEnd.NotRun(cause));
	}

	private static byte[] bytes(ProxyFrame... frames) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			for (ProxyFrame frame : frames) {
				byte[] encoded = ProxyFrameCodec.create().write(frame);
				out.writeInt(encoded.length);
				out.write(encoded);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	// Guards against a part of an answer that is framed as whole, and against "not run"
	// for
	// an order that another node may have sent on, when that node dies within its frames.
	@ParameterizedTest
	@EnumSource
	void anAnswerThatIsCutBetweenNodesIsAFailure(FrameAnswer answer) {
		List<FrameCut> cuts = FrameCut.all(answer);
		List<CompletableFuture<List<String>>> callers = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.supplyAsync(() -> findFaults(IntStream.range(0, cuts.size())
				.filter((index) -> index % CALLERS == caller)
				.mapToObj(cuts::get)
				.toList())))
			.toList();
		assertThat(callers.stream().flatMap((faults) -> faults.join().stream())).isEmpty();
		assertThat(this.cutRequests).containsAll(cuts.stream().map(FrameCut::identifier).toList());
	}

	private List<String> findFaults(List<FrameCut> cuts) {
		List<String> faults = new ArrayList<>();
		for (FrameCut cut : cuts) {
			try {
				String received = this.cluster.ask("one", cut.answer().path + cut.identifier(), cut.identifier());
				if (!cut.isExpected(received)) {
					faults.add(cut + ": " + received);
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
		return faults;
	}

	/**
	 * An answer of another node.
	 */
	enum FrameAnswer {

		/** To an order. */
		ONCE("/once/", true, "body", head(false), part("bo"), part("dy"), delivered()),

		/** To an order that its target refused. */
		REFUSED("/once/", true, "not run", notRun(NotRunCause.REFUSED)),

		/** To a request that may be repeated. */
		AGAIN("/again/", false, "body", new ProxyFrame.Accepted(), head(false), part("body"), delivered()),

		/** To a request for a stream. */
		STREAM("/single/", true, "\r\n0\r\n\r\n", head(true), event(1), event(2), delivered());

		private final String path;

		private final boolean confirmed;

		private final String wholeEnd;

		private final ProxyFrame[] frames;

		FrameAnswer(String path, boolean confirmed, String wholeEnd, ProxyFrame... frames) {
			this.path = path;
			this.confirmed = confirmed;
			this.wholeEnd = wholeEnd;
			this.frames = frames;
		}

		private byte[] bytes() {
			return CutProxyFrameTests.bytes(this.frames);
		}

		private static ProxyFrame head(boolean streaming) {
			return new ProxyFrame.Head(200, "OK", List.of(new ProxyFrame.Header("Server-Signature", "s")), streaming);
		}

		private static ProxyFrame part(String text) {
			return new ProxyFrame.Body(text.getBytes());
		}

		private static ProxyFrame event(int number) {
			return new ProxyFrame.Event(OptionalLong.of(number),
					("id: " + number + "\ndata: e" + number + "\n\n").getBytes());
		}

		private static ProxyFrame delivered() {
			return new ProxyFrame.End(Optional.of(TargetName.of("p0")), new AttemptEnd.Delivered(200, Duration.ZERO));
		}

	}

	/**
	 * A cut of an answer.
	 *
	 * @param answer the answer
	 * @param bytes number of bytes that are sent
	 * @param reset whether the connection is then reset, rather than closed
	 */
	private record FrameCut(FrameAnswer answer, int bytes, boolean reset) {

		static List<FrameCut> all(FrameAnswer answer) {
			List<FrameCut> cuts = new ArrayList<>();
			for (int bytes = 0; bytes < answer.bytes().length; bytes++) {
				cuts.add(new FrameCut(answer, bytes, false));
				cuts.add(new FrameCut(answer, bytes, true));
			}
			cuts.add(new FrameCut(answer, answer.bytes().length, false));
			return cuts;
		}

		String identifier() {
			return PREFIX + this.answer.name() + "-" + this.bytes + "-" + (this.reset ? "r" : "f");
		}

		static FrameCut parse(String identifier) {
			String[] fields = identifier.split("-");
			return new FrameCut(FrameAnswer.valueOf(fields[1]), Integer.parseInt(fields[2]), fields[3].equals("r"));
		}

		boolean isWhole() {
			return this.bytes == this.answer.bytes().length;
		}

		boolean isExpected(String received) {
			boolean success = received.startsWith("HTTP/1.1 200");
			if (this.answer == FrameAnswer.REFUSED) {
				return received.startsWith(isWhole() ? "HTTP/1.1 503" : "HTTP/1.1 502");
			}
			if (isWhole()) {
				return success && received.endsWith(this.answer.wholeEnd);
			}
			return switch (this.answer) {
				case ONCE -> received.startsWith("HTTP/1.1 502");
				case AGAIN -> received.startsWith("HTTP/1.1 50");
				default -> success ? !received.endsWith(this.answer.wholeEnd) : received.startsWith("HTTP/1.1 502");
			};
		}

	}

}
