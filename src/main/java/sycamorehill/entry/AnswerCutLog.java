package sycamorehill.entry;

import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.runtime.EventLog;

/**
 * Logs and counts the answers that this node breaks off by closing a connection.
 */
final class AnswerCutLog {

	private final EntryMetrics metrics;

	private AnswerCutLog(EntryMetrics metrics) {
		this.metrics = metrics;
	}

	static AnswerCutLog of(EntryMetrics metrics) {
		return new AnswerCutLog(metrics);
	}

	/**
	 * Records an answer to a caller that was cut.
	 * @param answer the answer
	 * @param cause why the connection is closed
	 */
	void recordCallerCut(UnwrittenAnswer answer, CutCause cause) {
		EventLog.write(LogLine.of(LogEvent.ANSWER_CUT, answer.describeCut(cause) + " to=caller"));
		this.metrics.countCutAnswer(cause);
	}

}
