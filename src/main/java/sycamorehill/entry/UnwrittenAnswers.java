package sycamorehill.entry;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.stream.Collectors;

/**
 * Answers of one caller's connection that are not written to its socket completely, in
 * the order of their requests.
 */
final class UnwrittenAnswers {

	private final Queue<UnwrittenAnswer> answers = new ArrayDeque<>();

	private final AnswerCutLog cutLog;

	private UnwrittenAnswers(AnswerCutLog cutLog) {
		this.cutLog = cutLog;
	}

	static UnwrittenAnswers of(AnswerCutLog cutLog) {
		return new UnwrittenAnswers(cutLog);
	}

	/**
	 * Adds the answer to a request that has been read.
	 * @param arrivedNanos time at which the request began to arrive
	 * @return the answer
	 */
	UnwrittenAnswer begin(long arrivedNanos) {
		UnwrittenAnswer answer = UnwrittenAnswer.of(arrivedNanos);
		this.answers.add(answer);
		return answer;
	}

	boolean isEmpty() {
		return this.answers.isEmpty();
	}

	void markWritten(UnwrittenAnswer answer) {
		this.answers.remove(answer);
	}

	/** Forgets the answers: all are written, or the caller has left. */
	void clear() {
		this.answers.clear();
	}

	/**
	 * Reports each answer as broken off by this node.
	 * @param cause why the connection is closed
	 */
	void reportCut(CutCause cause) {
		this.answers.forEach((answer) -> this.cutLog.recordCallerCut(answer, cause));
		this.answers.clear();
	}

	/**
	 * Returns the identifiers of the requests.
	 * @return the identifiers, separated by commas
	 */
	String identifiers() {
		return this.answers.stream().map(UnwrittenAnswer::identifier).collect(Collectors.joining(","));
	}

}
