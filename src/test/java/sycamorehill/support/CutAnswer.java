package sycamorehill.support;

import java.util.ArrayList;
import java.util.List;

/**
 * Small answers of servers, one of each framing, which tests cut at every byte.
 */
public enum CutAnswer {

	/** Body with a length. */
	LENGTH(200, "Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),

	/** Body in chunks. */
	CHUNKS(200, "Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),

	/** Body in chunks with a trailer. */
	TRAILERS(200, "Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nChecksum: 5\r\n\r\n"),

	/** Body that ends with the connection. */
	UNFRAMED(200, "Server-Signature: s\r\nConnection: close\r\n\r\nbody"),

	/** Interim answers before the final one. */
	INTERIM(200, "Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody") {

		@Override
		public String text(String identifier) {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + super.text(identifier);
		}

	},

	/** Success without a body. */
	NO_CONTENT(204, "Server-Signature: s\r\n\r\n"),

	/** Answer that names a length and has no body. */
	NOT_MODIFIED(304, "Server-Signature: s\r\nContent-Length: 9\r\n\r\n"),

	/** Failure of the request. */
	NOT_FOUND(404, "Server-Signature: s\r\nContent-Length: 4\r\n\r\nbody"),

	/** Failure of the server. */
	ERROR(500, "Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),

	/** Refusal, which promises that the request did not run. */
	REFUSAL(503, "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbody"),

	/** Refusal that ends with the connection. */
	UNFRAMED_REFUSAL(503, "Not-Executed: 1\r\n\r\nbody"),

	/** Refusal of a server that has the address of another one. */
	WRONG_SERVER(421, "Instance-Id: other\r\nContent-Length: 0\r\n\r\n");

	private static final String BODY = "body";

	private static final String END_OF_HEAD = "\r\n\r\n";

	/** Identifier with the length of those of {@link Cut}. */
	private static final String ANY_IDENTIFIER = "c00-0000-f";

	private final int status;

	private final String rest;

	CutAnswer(int status, String rest) {
		this.status = status;
		this.rest = rest;
	}

	/**
	 * Returns the whole answer.
	 * @param identifier the identifier of the request
	 * @return the answer
	 */
	public String text(String identifier) {
		return "HTTP/1.1 " + this.status + " Any\r\nAttempt-Id: " + identifier + "\r\n" + this.rest;
	}

	/**
	 * Returns the status of the answer.
	 * @return the HTTP status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether only the end of the connection ends the body.
	 * @return whether it has neither a length nor chunks
	 */
	public boolean isUnframed() {
		return this == UNFRAMED || this == UNFRAMED_REFUSAL;
	}

	/**
	 * Returns whether the answer promises that the request did not run.
	 * @return whether it does
	 */
	public boolean isRefusal() {
		return this == REFUSAL || this == UNFRAMED_REFUSAL || this == WRONG_SERVER;
	}

	private int headBytes() {
		String text = text(ANY_IDENTIFIER);
		return text.indexOf(END_OF_HEAD, text.indexOf("HTTP/1.1 " + this.status)) + END_OF_HEAD.length();
	}

	/**
	 * Returns all cuts of the answer: behind each byte, by a close and by a reset. The
	 * last one leaves the answer whole.
	 * @return the cuts
	 */
	public List<Cut> cuts() {
		List<Cut> cuts = new ArrayList<>();
		int length = text(ANY_IDENTIFIER).length();
		for (int bytes = 0; bytes < length; bytes++) {
			cuts.add(new Cut(this, bytes, false));
			cuts.add(new Cut(this, bytes, true));
		}
		if (isUnframed()) {
			cuts.add(new Cut(this, length, true));
		}
		cuts.add(new Cut(this, length, false));
		return cuts;
	}

	/**
	 * A cut of an answer.
	 *
	 * @param answer the answer
	 * @param bytes number of bytes that are sent
	 * @param reset whether the connection is then reset, rather than closed
	 */
	public record Cut(CutAnswer answer, int bytes, boolean reset) {

		/**
		 * Returns the identifier of a request whose answer is to be cut.
		 * @return the identifier
		 */
		public String identifier() {
			return "c%02d-%04d-%s".formatted(this.answer.ordinal(), this.bytes, this.reset ? "r" : "f");
		}

		/**
		 * Parses an identifier.
		 * @param identifier the identifier
		 * @return the cut
		 */
		public static Cut parse(String identifier) {
			String[] fields = identifier.substring(1).split("-");
			return new Cut(values()[Integer.parseInt(fields[0])], Integer.parseInt(fields[1]), fields[2].equals("r"));
		}

		/**
		 * Returns what is sent of the head.
		 * @return the bytes
		 */
		public String sentHead() {
			return sent().substring(0, Math.min(this.bytes, this.answer.headBytes()));
		}

		/**
		 * Returns what is sent of the body.
		 * @return the bytes
		 */
		public String sentBody() {
			return sent().substring(sentHead().length());
		}

		/**
		 * Returns the body without its framing.
		 * @return what is sent of it, if it ends with the connection, otherwise all of it
		 */
		public String body() {
			return switch (this.answer) {
				case UNFRAMED, UNFRAMED_REFUSAL -> sentBody();
				case NO_CONTENT, NOT_MODIFIED, WRONG_SERVER -> "";
				default -> BODY;
			};
		}

		private String sent() {
			return this.answer.text(identifier()).substring(0, this.bytes);
		}

		/**
		 * Returns whether all of the head is sent.
		 * @return whether it is
		 */
		public boolean hasHead() {
			return this.bytes >= this.answer.headBytes();
		}

		/**
		 * Returns whether what is sent is a whole answer.
		 * @return whether it is
		 */
		public boolean isWhole() {
			return this.answer.isUnframed() ? hasHead() && !this.reset
					: this.bytes == this.answer.text(identifier()).length();
		}

	}

}
