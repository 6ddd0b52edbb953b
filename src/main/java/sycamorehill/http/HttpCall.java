package sycamorehill.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.Address;

/**
 * One call whose answer is small enough to be held whole.
 *
 * @param address whom to call
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers
 * @param body the body, empty for none
 * @param timeout the longest wait for the whole answer
 */
public record HttpCall(Address address, String method, String target, List<HttpHeader> headers, Optional<String> body,
		Duration timeout) {

	/**
	 * A call without a body.
	 * @param address whom to call
	 * @param method the HTTP method
	 * @param target path and query
	 * @param timeout the longest wait for the whole answer
	 * @return the call
	 */
	public static HttpCall of(Address address, String method, String target, Duration timeout) {
		return new HttpCall(address, method, target, List.of(), Optional.empty(), timeout);
	}

	/**
	 * The call with a body.
	 * @param text the body
	 * @param contentType its media type
	 * @return the changed call
	 */
	public HttpCall withBody(String text, String contentType) {
		return new HttpCall(this.address, this.method, this.target,
				HttpHeader.append(this.headers, HttpHeader.of("Content-Type", contentType)), Optional.of(text),
				this.timeout);
	}

	/**
	 * The call with one more header.
	 * @param name the header's name
	 * @param value its value
	 * @return the changed call
	 */
	public HttpCall withHeader(String name, String value) {
		return new HttpCall(this.address, this.method, this.target,
				HttpHeader.append(this.headers, HttpHeader.of(name, value)), this.body, this.timeout);
	}

}
