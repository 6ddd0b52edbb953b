package sycamorehill.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * An answer as a target writes it.
 *
 * @param signature the signature
 * @param status the status; 0 if the target gives no answer
 * @param body the body that belongs to the answer
 * @param whole whether the target gives all of the answer
 * @param run whether the target runs the request
 * @param writes what it writes, with pauses in between
 * @param end what it does with the connection
 */
record ScriptedAnswer(String signature, int status, String body, boolean whole, boolean run, List<String> writes,
		End end) {

	private static final String END_OF_CHUNKS = "0\r\n\r\n";

	/**
	 * Creates an answer.
	 * @param form its form
	 * @param request the request
	 * @param signature the signature
	 * @param random draws the details
	 * @return the answer
	 */
	static ScriptedAnswer of(AnswerForm form, SoakRequest request, String signature, Random random) {
		return switch (form) {
			case WHOLE, EARLY -> success(request, signature, random);
			case FAILURE -> failure(request, signature);
			case REFUSAL -> new ScriptedAnswer("", 503, "", true, false, List.of(refusal(request)), End.KEEP);
			case CUT_HEAD -> cutHead(request, signature, random);
			case CUT_BODY -> cutBody(request, signature, random);
			case LENGTH_TOO_LONG -> lengthTooLong(request, signature, random);
			case LENGTH_TOO_SHORT -> lengthTooShort(request, signature, random);
			case WRONG_CHUNKS -> wrongChunks(request, signature, random);
			case GARBAGE -> none(List.of(garbage(random)), random.nextBoolean() ? End.CLOSE : End.SILENCE);
			case INTERIM -> interim(success(request, signature, random), random);
			case NO_LENGTH -> withoutLength(request, signature, End.CLOSE);
			case NO_LENGTH_RESET -> withoutLength(request, signature, End.RESET);
			case RESET -> none(List.of(), End.RESET);
			case SILENT -> none(List.of(), random.nextBoolean() ? End.SILENCE : End.CLOSE);
			case OTHER_IDENTIFIER -> otherIdentifier(request, signature, random);
			case BODY_WITHOUT_PLACE -> bodyWithoutPlace(request, signature, random);
			case NO_SIGNATURE -> success(request, "", random).asNoSuccess();
		};
	}

	private static ScriptedAnswer none(List<String> writes, End end) {
		return new ScriptedAnswer("", 0, "", false, true, writes, end);
	}

	private ScriptedAnswer asNoSuccess() {
		return new ScriptedAnswer(this.signature, 0, this.body, false, this.run, this.writes, this.end);
	}

	private static ScriptedAnswer success(SoakRequest request, String signature, Random random) {
		List<String> parts = request.answerParts(signature);
		boolean chunked = request.kind().isStream() || (!request.isHead() && random.nextInt(3) == 0);
		List<String> writes = chunked ? chunked(request, signature, parts) : measured(request, signature, parts, 0);
		return new ScriptedAnswer(signature, 200, String.join("", parts), true, true, writes, End.KEEP);
	}

	private static String head(SoakRequest request, int status, String signature, String more) {
		String signed = signature.isEmpty() ? "" : "Server-Signature: " + signature + "\r\n";
		return "HTTP/1.1 " + status + " Any\r\nAttempt-Id: " + request.identifier() + "\r\n" + signed + more + "\r\n";
	}

	private static List<String> measured(SoakRequest request, String signature, List<String> parts, int more) {
		int length = request.isHead() ? 40 : String.join("", parts).length();
		List<String> writes = new ArrayList<>(parts);
		writes.add(0, head(request, 200, signature, "Content-Length: " + (length + more) + "\r\n"));
		return joinFirst(writes);
	}

	private static List<String> chunked(SoakRequest request, String signature, List<String> parts) {
		List<String> writes = new ArrayList<>();
		writes.add(head(request, 200, signature, "Transfer-Encoding: chunked\r\n"));
		parts.forEach((part) -> writes.add(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n"));
		writes.add(END_OF_CHUNKS);
		return joinFirst(writes);
	}

	// The head and the first part come together, as most targets send them.
	private static List<String> joinFirst(List<String> writes) {
		if (writes.size() > 1) {
			writes.set(0, writes.get(0) + writes.remove(1));
		}
		return writes;
	}

	private static ScriptedAnswer failure(SoakRequest request, String signature) {
		String body = request.isHead() ? "" : "failed " + request.token();
		String head = head(request, 500, signature, "Content-Length: " + body.length() + "\r\n");
		return new ScriptedAnswer(signature, 500, body, true, true, List.of(head + body), End.KEEP);
	}

	private static String refusal(SoakRequest request) {
		return head(request, 503, "", "Not-Executed: 1\r\nContent-Length: 0\r\n");
	}

	// A target that goes on after a cut sends another answer right behind it.
	private static ScriptedAnswer cutHead(SoakRequest request, String signature, Random random) {
		String head = measured(request, signature, List.of(), 40).get(0);
		String cut = head.substring(0, 1 + random.nextInt(head.length() - 1));
		return (random.nextInt(3) == 0) ? none(List.of(cut, second(request, signature, random)), End.SILENCE)
				: none(List.of(cut), End.drawn(random));
	}

	private static ScriptedAnswer cutBody(SoakRequest request, String signature, Random random) {
		ScriptedAnswer whole = success(request, signature, random);
		int headLength = whole.writes.get(0).indexOf("\r\n\r\n") + 4;
		int length = String.join("", whole.writes).length() - END_OF_CHUNKS.length();
		if (request.isHead() || length <= headLength) {
			return cutHead(request, signature, random);
		}
		int left = headLength + random.nextInt(length - headLength);
		List<String> writes = new ArrayList<>();
		for (String write : whole.writes) {
			writes.add(write.substring(0, Math.min(left, write.length())));
			left -= Math.min(left, write.length());
		}
		return new ScriptedAnswer(signature, 200, whole.body, false, true, writes, End.drawn(random));
	}

	private static ScriptedAnswer lengthTooLong(SoakRequest request, String signature, Random random) {
		List<String> parts = request.answerParts(signature);
		List<String> writes = measured(request, signature, parts, 1 + random.nextInt(50));
		if (request.isHead()) {
			return new ScriptedAnswer(signature, 200, "", true, true, writes, End.KEEP);
		}
		return new ScriptedAnswer(signature, 200, String.join("", parts), false, true, writes, End.drawn(random));
	}

	// The bytes beyond the length are not part of the answer. A stream that is too short
	// by whole events can't be told from a whole one.
	private static ScriptedAnswer lengthTooShort(SoakRequest request, String signature, Random random) {
		if (request.kind().isStream() || request.isHead()) {
			return cutBody(request, signature, random);
		}
		List<String> parts = request.answerParts(signature);
		int missing = 1 + random.nextInt(5);
		String body = parts.get(0).substring(0, parts.get(0).length() - missing);
		return new ScriptedAnswer(signature, 200, body, true, true, measured(request, signature, parts, -missing),
				End.KEEP);
	}

	private static ScriptedAnswer wrongChunks(SoakRequest request, String signature, Random random) {
		List<String> parts = request.answerParts(signature);
		if (parts.isEmpty()) {
			return cutHead(request, signature, random);
		}
		List<String> writes = new ArrayList<>();
		writes.add(head(request, 200, signature, "Transfer-Encoding: chunked\r\n"));
		int wrong = random.nextInt(parts.size());
		for (int index = 0; index < parts.size(); index++) {
			String part = parts.get(index);
			writes.add(((index == wrong) ? wrongSize(part, random) : Integer.toHexString(part.length())) + "\r\n" + part
					+ "\r\n");
		}
		writes.add(END_OF_CHUNKS);
		return new ScriptedAnswer(signature, 200, String.join("", parts), false, true, joinFirst(writes),
				random.nextBoolean() ? End.CLOSE : End.SILENCE);
	}

	private static String wrongSize(String part, Random random) {
		return switch (random.nextInt(3)) {
			case 0 -> Integer.toHexString(part.length() + 1 + random.nextInt(9));
			case 1 -> Integer.toHexString(part.length() - 1 - random.nextInt(9));
			default -> "size";
		};
	}

	private static String garbage(Random random) {
		StringBuilder bytes = new StringBuilder();
		for (int index = random.nextInt(300); index >= 0; index--) {
			bytes.append((char) random.nextInt(256));
		}
		return bytes.toString();
	}

	private static ScriptedAnswer interim(ScriptedAnswer answer, Random random) {
		List<String> writes = new ArrayList<>(answer.writes);
		String interim = random.nextBoolean() ? "HTTP/1.1 100 Continue\r\n\r\n"
				: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
		writes.add(0, interim.repeat(1 + random.nextInt(3)));
		return new ScriptedAnswer(answer.signature, answer.status, answer.body, true, true,
				random.nextBoolean() ? writes : joinFirst(writes), End.KEEP);
	}

	private static ScriptedAnswer withoutLength(SoakRequest request, String signature, End end) {
		List<String> parts = request.answerParts(signature);
		List<String> writes = new ArrayList<>(parts);
		writes.add(0, head(request, 200, signature, "Connection: close\r\n"));
		return new ScriptedAnswer(signature, 200, String.join("", parts), end == End.CLOSE || request.isHead(), true,
				joinFirst(writes), end);
	}

	private static ScriptedAnswer otherIdentifier(SoakRequest request, String signature, Random random) {
		SoakRequest other = new SoakRequest(request.kind(), request.method(), "other-" + random.nextLong(), "other",
				request.size(), 0);
		String foreign = String.join("", success(other, "foreign", random).writes);
		if (random.nextBoolean()) {
			return none(List.of(foreign), End.SILENCE);
		}
		ScriptedAnswer own = success(request, signature, random);
		List<String> writes = new ArrayList<>(own.writes);
		writes.add(0, foreign);
		return new ScriptedAnswer(signature, 200, own.body, true, true, writes, End.KEEP);
	}

	private static ScriptedAnswer bodyWithoutPlace(SoakRequest request, String signature, Random random) {
		String body = "no place";
		String length = "Content-Length: " + body.length() + "\r\n";
		List<String> writes = new ArrayList<>(
				List.of(head(request, request.isHead() ? 200 : 204, signature, length), body));
		return new ScriptedAnswer(signature, request.isHead() ? 200 : 204, "", true, true,
				random.nextBoolean() ? writes : joinFirst(writes), End.KEEP);
	}

	/**
	 * Returns a second answer to a request, or a part of one.
	 * @param request the request
	 * @param signature the signature
	 * @param random draws the status and the part
	 * @return the bytes
	 */
	static String second(SoakRequest request, String signature, Random random) {
		String body = request.isHead() ? "" : "second";
		String answer = switch (random.nextInt(4)) {
			case 0 -> refusal(request);
			case 1 -> garbage(random);
			default ->
				head(request, random.nextBoolean() ? 200 : 500, signature, "Content-Length: " + body.length() + "\r\n")
						+ body;
		};
		return (random.nextInt(3) == 0) ? answer.substring(0, 1 + random.nextInt(answer.length())) : answer;
	}

	/**
	 * What a target does with a connection after an answer.
	 */
	enum End {

		/** Reads the next request. */
		KEEP,

		/** Closes it. */
		CLOSE,

		/** Resets it. */
		RESET,

		/** Waits until the other side closes it. */
		SILENCE;

		private static End drawn(Random random) {
			return switch (random.nextInt(3)) {
				case 0 -> CLOSE;
				case 1 -> RESET;
				default -> SILENCE;
			};
		}

	}

}
