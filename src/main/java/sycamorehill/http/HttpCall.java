package sycamorehill.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.Address;

/**
 * Describes an HTTP call whose answer is small enough to be held in memory.
 *
 * @param address the address of the server
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers
 * @param body the body, empty for none
 * @param timeout the maximum time until the answer is complete
 */
public record HttpCall(Address address, String method, String target, List<HttpHeader> headers, Optional<String> body,
		Duration timeout) {

	/**
	 * Creates a call without headers and body.
	 * @param address the address of the server
	 * @param method the HTTP method
	 * @param target the path and query
	 * @param timeout the maximum time until the answer is complete
	 * @return the call
	 */
	public static HttpCall of(Address address, String method, String target, Duration timeout) {
		return new HttpCall(address, method, target, List.of(), Optional.empty(), timeout);
	}

	/**
	 * Returns a copy of this call with a body.
	 * @param text the body
	 * @param contentType the media type of the body
	 * @return the copy
	 */
	public HttpCall withBody(String text, String contentType) {
		return new HttpCall(this.address, this.method, this.target,
				HttpHeader.append(this.headers, HttpHeader.of("Content-Type", contentType)), Optional.of(text),
				this.timeout);
	}

	/**
	 * Returns a copy of this call with an additional header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the copy
	 */
	public HttpCall withHeader(String name, String value) {
		return new HttpCall(this.address, this.method, this.target,
				HttpHeader.append(this.headers, HttpHeader.of(name, value)), this.body, this.timeout);
	}

}
