package sycamorehill.entry;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over loopback of targets whose bytes are no answer by RFC 9110 and 9112, though
 * they are well framed and name the request.
 */
class MalformedAnswerTests {

	private static final List<String> PATHS = List.of("/once/x", "/again/x", "/single/x");

	private static final String BODY = "id: 1\ndata: hello\n\n";

	private CallerNode node;

	@AfterEach
	void close() throws Exception {
		this.node.close();
	}

	private String ask(String path, String answer) throws Exception {
		this.node = CallerNode.start((request, out) -> {
			RawTarget.write(out, answer.replace("ID", LoopbackCluster.identifier(request)));
			return true;
		});
		return this.node.ask(path, "one");
	}

	private static String answer(String statusLine, String fields) {
		return statusLine + "\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n" + fields + "Content-Length: "
				+ BODY.length() + "\r\n\r\n" + BODY;
	}

	private static void assertNoAnswer(String received) {
		assertThat(received).startsWith("HTTP/1.1 502").doesNotContain("data: hello");
	}

	private static Stream<String> statusLines() {
		return Stream.of("HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2 OK",
				"HTTP/1.1 2000 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 0200 OK",
				"HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 20 0 OK", "HTTP/1.1 2x0 OK", "HTTP/9.9 200 OK",
				"HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", " HTTP/1.1 200 OK", "\0HTTP/1.1 200 OK",
				"\r\nHTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1\u000b200 OK", "HTTP/1.1  200 OK",
				"HTTP/1.1 200\tOK", "HTTP/1.1 200\0OK", "HTTP/1.1 200 O\u0001K", "http/1.1 200 OK",
				"HTTP/1.1 2\0 00 OK", "HTTP/1.1 200 OK\rX: a", "ICY 200 OK");
	}

	static Stream<Arguments> statusLinesOnPaths() {
		return statusLines().flatMap((line) -> PATHS.stream().map((path) -> Arguments.of(path, line)));
	}

	// Guards against an answer whose status line is none and that a caller gets as an
	// answer, with that status or another one.
	@ParameterizedTest
	@MethodSource("statusLinesOnPaths")
	void anAnswerWithoutAStatusLineIsNoAnswer(String path, String statusLine) throws Exception {
		assertNoAnswer(ask(path, answer(statusLine, "")));
	}

	private static Stream<String> oddCharacters() {
		return IntStream.concat(IntStream.rangeClosed(0, ' '), IntStream.of(0x7f, 0x80, 0xa0, 0xff, '(', '"', '/', '@'))
			.filter((character) -> character != '\n')
			.mapToObj((character) -> String.valueOf((char) character));
	}

	private static Stream<String> oddFields() {
		return oddCharacters().flatMap((odd) -> Stream.of(odd + "Some: x\r\n", "So" + odd + "me: x\r\n",
				"Some" + odd + ": x\r\n", "Content-Length" + odd + ": 5\r\n", "Some" + odd + "\r\n"));
	}

	static Stream<Arguments> oddFieldsOnPaths() {
		return oddFields()
			.flatMap((field) -> Stream.of("/again/x", "/single/x").map((path) -> Arguments.of(path, field)));
	}

	// Guards against a head with a name that is none, which a caller gets as an answer
	// with that line, another one, or with a body that is not the target's.
	@ParameterizedTest
	@MethodSource("oddFieldsOnPaths")
	void anAnswerWithAnOddFieldNameIsNoAnswer(String path, String field) throws Exception {
		assertNoAnswer(ask(path, answer("HTTP/1.1 200 OK", field)));
	}

	// Guards against other lines that are no fields, and against values with control
	// characters.
	@ParameterizedTest
	@ValueSource(strings = { ": x\r\n", "Some\r\n", "Some: x\r\n folded\r\n", "Some: a\0b\r\n", "Some: a\u0001b\r\n",
			"Some: a\rb: c\r\n", "Some: a\u007f\r\n", "Transfer-Encoding: gzip\r\n" })
	void anAnswerWithALineThatIsNoFieldIsNoAnswer(String field) throws Exception {
		assertNoAnswer(ask("/again/x", answer("HTTP/1.1 200 OK", field)));
	}

	// Guards against interim answers that are none and hide that the bytes behind them
	// can't be relied on.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 1 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nSo me: x\r\n\r\n",
			"HTTP/1.1 103 Hints\r\nSome\0: x\r\n\r\n", "HTTP/2 102 Processing\r\n\r\n" })
	void anAnswerBehindAMalformedInterimOneIsNoAnswer(String interim) throws Exception {
		assertNoAnswer(ask("/again/x", interim + answer("HTTP/1.1 200 OK", "")));
	}

	// Guards against a body whose chunks are read in another way than they were meant,
	// and against a second answer that passes for trailers.
	@ParameterizedTest
	@ValueSource(strings = { "13\r\nBODYx\r\n0\r\n\r\n", "13x\r\nBODY\r\n0\r\n\r\n", " 13\r\nBODY\r\n0\r\n\r\n",
			"+13\r\nBODY\r\n0\r\n\r\n", "13\0\r\nBODY\r\n0\r\n\r\n", "10000000000000013\r\nBODY\r\n0\r\n\r\n",
			"13\r\nBODY\r\n0\r\nSo me: x\r\n\r\n", "13\r\nBODY\r\n0\r\nSome\r\n\r\n",
			"13\r\nBODY\r\n0\r\nHTTP/1.1 500 Error\r\n\r\n", "13\r\nBODY\r\n0\r\n Some: x\r\n\r\n" })
	void anAnswerWithMalformedChunksIsNoAnswer(String chunks) throws Exception {
		assertNoAnswer(ask("/again/x", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n" + chunks.replace("BODY", BODY)));
	}

	// Guards against sound answers that are refused.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
			"HTTP/1.1 201 Gr\u00fc\u00dfe\t(a, b)", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK" })
	void aSoundAnswerIsDelivered(String statusLine) throws Exception {
		String fields = "X!#$%&'*+-.^_`|~9: \t a\u00e9b\t \r\nEmpty:\r\nA:b\r\n";
		assertThat(ask("/again/x", answer(statusLine, fields))).startsWith("HTTP/1.1 20")
			.contains("X!#$%&'*+-.^_`|~9: a", "Empty:")
			.endsWith(BODY);
	}

	// Guards against sound chunks that are refused.
	@ParameterizedTest
	@ValueSource(strings = { "13\r\nBODY\r\n0\r\n\r\n", "013 ;a=b\r\nBODY\r\n0;c\r\nSome: x\r\nOther:\r\n\r\n" })
	void soundChunksAreDelivered(String chunks) throws Exception {
		assertThat(ask("/again/x",
				"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\nTransfer-Encoding: Chunked\r\n\r\n"
						+ chunks.replace("BODY", BODY)))
			.startsWith("HTTP/1.1 200")
			.endsWith(BODY);
	}

}
