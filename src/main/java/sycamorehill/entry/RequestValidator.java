package sycamorehill.entry;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Detects ambiguous request heads. If a node and a target could frame a request in two
 * ways or disagree about its host, the bytes of one caller could be executed as the
 * request of another (request smuggling).
 */
final class RequestValidator {

	private RequestValidator() {
	}

	/**
	 * Returns the reason why a request is refused.
	 * @param head the head of the request
	 * @return the violation; empty if the request may be forwarded
	 */
	static Optional<String> findViolation(HttpRequest head) {
		HttpHeaders headers = head.headers();
		List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
		if (hosts.size() != 1 || hosts.get(0).isBlank()) {
			return Optional.of("a request names one host");
		}
		if (!head.uri().startsWith("/")) {
			return Optional.of("a request names a path");
		}
		if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
				&& !head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
			return Optional.of("not HTTP/1.1");
		}
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!encodings.isEmpty()
				&& (!lengths.isEmpty() || encodings.size() > 1 || !encodings.get(0).trim().equalsIgnoreCase("chunked")
						|| head.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
			return Optional.of("the length of the body is not certain");
		}
		if (lengths.size() > 1 || (lengths.size() == 1 && !lengths.get(0).chars().allMatch(Character::isDigit))) {
			return Optional.of("the length of the body is not certain");
		}
		return Optional.empty();
	}

}
