package sycamorehill.entry;

import java.util.Optional;
import java.util.function.Function;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Answer that a request on a connection waits for.
 *
 * @param identifier the identifier with which the request was sent; empty if the server
 * has no identifiers
 * @param identifierReader reads the identifier of an answer
 * @param handler receives the answer
 */
record ExpectedAnswer(Optional<String> identifier, Function<HttpResponse, Optional<String>> identifierReader,
		AnswerHandler handler) {

	static ExpectedAnswer of(String identifier, Function<HttpResponse, Optional<String>> identifierReader,
			AnswerHandler handler) {
		return new ExpectedAnswer(Optional.of(identifier), identifierReader, handler);
	}

	/**
	 * Creates the expectation of the next answer on the connection, whatever it answers.
	 * @param handler receives the answer
	 * @return the expectation
	 */
	static ExpectedAnswer unidentified(AnswerHandler handler) {
		return new ExpectedAnswer(Optional.empty(), (answer) -> Optional.empty(), handler);
	}

}
