package sycamorehill.entry;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Rules that the head of a target's answer must keep, and that a second answer may break.
 */
final class AnswerRules {

	private AnswerRules() {
	}

	static boolean isSuccess(HttpResponse head) {
		return head.status().codeClass() == HttpStatusClass.SUCCESS;
	}

	/**
	 * Finds out why a head can't be that of the target's answer. Targets don't encode
	 * bodies: one that is encoded comes from somewhere else.
	 * @param head the head
	 * @param parsedHead the parsed head
	 * @return the reason; empty if it may be
	 */
	static Optional<String> findViolation(HttpResponse head, TargetResponseHead parsedHead) {
		if (isSuccess(head) && (!parsedHead.signed() || parsedHead.identifier().isEmpty())) {
			return Optional.of("a success without the target's signature");
		}
		boolean encoded = head.headers().contains(HttpHeaderNames.CONTENT_ENCODING) || hasOtherCodingThanChunks(head);
		return (!isRefusal(parsedHead) && encoded) ? Optional.of("an encoded body, which is not the target's")
				: Optional.empty();
	}

	private static boolean hasOtherCodingThanChunks(HttpResponse head) {
		List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		return codings.size() > 1
				|| codings.stream().anyMatch((coding) -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
	}

	/**
	 * Returns whether an answer can't be relied on beside a second one. A success, and
	 * the promise that the request did not run, must be true. A target that has run a
	 * request may answer with the status of a refusal.
	 * @param head the head of the answer
	 * @param parsedHead the parsed head of the answer
	 * @param second the head of the second answer
	 * @param parsedSecond the parsed head of the second answer
	 * @return whether the second one contradicts it
	 */
	static boolean isContradiction(HttpResponse head, TargetResponseHead parsedHead, HttpResponse second,
			TargetResponseHead parsedSecond) {
		boolean otherStatus = second.status().code() != head.status().code();
		if (isRefusal(parsedHead)) {
			return otherStatus || !isRefusal(parsedSecond);
		}
		return otherStatus && isSuccess(head);
	}

	private static boolean isRefusal(TargetResponseHead parsedHead) {
		return parsedHead.notRun() || parsedHead.otherTarget();
	}

}
