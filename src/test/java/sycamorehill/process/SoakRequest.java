package sycamorehill.process;

import java.util.ArrayList;
import java.util.List;

/**
 * Request of the soak. Its path names its kind, its token, which no other one has, and
 * its size: the bytes of its body, or the events that it asks for.
 *
 * @param kind the kind
 * @param method the HTTP method
 * @param identifier the identifier, which a caller may use twice
 * @param token the token
 * @param size the size
 * @param resumeAfter the number of the event after which a stream goes on
 */
record SoakRequest(Kind kind, String method, String identifier, String token, int size, int resumeAfter) {

	static final String HOST = "mix.example";

	String path() {
		return '/' + this.kind.prefix() + '/' + this.token + '/' + this.size;
	}

	/**
	 * Returns the body of the request.
	 * @return the body
	 */
	String body() {
		if (this.kind != Kind.ONCE) {
			return "";
		}
		return (this.token + ' ').repeat(this.size / (this.token.length() + 1) + 1).substring(0, this.size);
	}

	boolean isHead() {
		return this.method.equals("HEAD");
	}

	/**
	 * Returns the parts of the body of an answer.
	 * @param signature signature of the answer
	 * @return the events of a stream, or one part
	 */
	List<String> answerParts(String signature) {
		if (!this.kind.isStream()) {
			return isHead() ? List.of() : List.of(signature + ' ' + this.token + ' ' + ". ".repeat(this.size % 700));
		}
		List<String> events = new ArrayList<>();
		for (int number = this.resumeAfter + 1; number <= this.size; number++) {
			events.add("id: " + number + "\ndata: " + signature + ' ' + this.token + ". ".repeat(number) + "\n\n");
		}
		return events;
	}

	/**
	 * Reads a request.
	 * @param head the head of the request
	 * @return the request, or null if no caller of the soak sends such a request
	 */
	static SoakRequest parse(String head) {
		String[] line = head.substring(0, head.indexOf("\r\n")).split(" ");
		String[] path = line[1].split("/");
		for (Kind kind : Kind.values()) {
			if (path.length == 4 && path[1].equals(kind.prefix())) {
				String resumeAfter = header(head, "Last-Event-Id");
				return new SoakRequest(kind, line[0], header(head, "Attempt-Id"), path[2], Integer.parseInt(path[3]),
						resumeAfter.isEmpty() ? 0 : Integer.parseInt(resumeAfter));
			}
		}
		return null;
	}

	/**
	 * Reads a header.
	 * @param head the head of a request or an answer
	 * @param name name of the header
	 * @return its value; empty without it
	 */
	static String header(String head, String name) {
		return head.lines()
			.filter((line) -> line.regionMatches(true, 0, name + ':', 0, name.length() + 1))
			.map((line) -> line.substring(name.length() + 1).trim())
			.findFirst()
			.orElse("");
	}

	/**
	 * What may be done with a request.
	 */
	enum Kind {

		/** May run once. */
		ONCE("once"),

		/** May be repeated. */
		AGAIN("again"),

		/** A stream that may run once. */
		STREAM("stream"),

		/** A stream that may be resumed. */
		RESUMABLE("resumable");

		private final String prefix;

		Kind(String prefix) {
			this.prefix = prefix;
		}

		String prefix() {
			return this.prefix;
		}

		boolean isStream() {
			return this == STREAM || this == RESUMABLE;
		}

		boolean mayRunOnce() {
			return this == ONCE || this == STREAM;
		}

	}

}
