package sycamorehill.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds one header of a request or an answer.
 *
 * @param name the name of the header
 * @param value the value of the header
 */
public record HttpHeader(String name, String value) {

	/**
	 * Creates a header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the header
	 */
	public static HttpHeader of(String name, String value) {
		return new HttpHeader(name, value);
	}

	static List<HttpHeader> append(List<HttpHeader> headers, HttpHeader added) {
		List<HttpHeader> all = new ArrayList<>(headers);
		all.add(added);
		return List.copyOf(all);
	}

}
