package sycamorehill.http;

import java.util.List;
import java.util.Optional;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body as text
 */
public record HttpAnswer(int status, List<HttpHeader> headers, String body) {

	/**
	 * Finds a header.
	 * @param name its name, in any case
	 * @return the first value
	 */
	public Optional<String> header(String name) {
		return this.headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.map(HttpHeader::value)
			.findFirst();
	}

}
