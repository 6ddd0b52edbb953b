package sycamorehill.entry;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.ConnectionUse;
import sycamorehill.runtime.EventLog;

/**
 * Logs and counts what targets send that no request on the connection waits for.
 */
final class UnmatchedAnswers {

	/** Maximum length of an identifier in the log; a target may send any. */
	private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;

	private static final String NONE = "none";

	private long count;

	private UnmatchedAnswers() {
	}

	static UnmatchedAnswers create() {
		return new UnmatchedAnswers();
	}

	/**
	 * Records what a target sent.
	 * @param target the target
	 * @param use the last use of the connection
	 * @param message a decoded part of what it sent
	 * @param last the answer that the last request on the connection waits or waited for
	 * @param waiting whether that request still waits
	 */
	void record(TargetName target, ConnectionUse use, Object message, ExpectedAnswer last, boolean waiting) {
		this.count++;
		Optional<HttpResponse> head = (message instanceof HttpResponse response) ? Optional.of(response)
				: Optional.empty();
		EventLog.write(LogLine.of(LogEvent.ANSWER_UNMATCHED,
				"target=" + target + " connection=" + use + " status="
						+ head.map((response) -> String.valueOf(response.status().code())).orElse(NONE) + " identifier="
						+ describe(head.flatMap(last.identifierReader())) + " " + (waiting ? "waiting=" : "answered=")
						+ describe(last.identifier())));
	}

	private static String describe(Optional<String> identifier) {
		return identifier.map((text) -> text.substring(0, Math.min(text.length(), MAXIMUM_IDENTIFIER_LENGTH)))
			.orElse(NONE);
	}

	/**
	 * Returns how many there were.
	 * @return the number
	 */
	long count() {
		return this.count;
	}

}
