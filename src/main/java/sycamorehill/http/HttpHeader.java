package sycamorehill.http;

import java.util.ArrayList;
import java.util.List;

/**
 * One header of a request or an answer.
 *
 * @param name its name
 * @param value its value
 */
public record HttpHeader(String name, String value) {

	/**
	 * Creates a header.
	 * @param name its name
	 * @param value its value
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
