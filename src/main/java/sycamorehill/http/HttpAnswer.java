package sycamorehill.http;

import java.util.List;
import java.util.Optional;

/**
 * Holds a complete HTTP answer.
 *
 * @param status the HTTP status code
 * @param headers the headers
 * @param body the body as text
 */
public record HttpAnswer(int status, List<HttpHeader> headers, String body) {

	/**
	 * Returns the first value of a header.
	 * @param name the name of the header, case-insensitive
	 * @return the value, empty if there is no such header
	 */
	public Optional<String> header(String name) {
		return this.headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.map(HttpHeader::value)
			.findFirst();
	}

}
