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
		this.metrics.countCutAnswer("answers", cause);
	}

	/**
	 * Records an answer to a request of another node that was cut.
	 * @param answer the answer
	 * @param cause why the connection is closed
	 * @param node name of the other node
	 */
	void recordNodeCut(UnwrittenAnswer answer, CutCause cause, String node) {
		EventLog.write(LogLine.of(LogEvent.ANSWER_CUT, answer.describeCut(cause) + " to=" + node));
		this.metrics.countCutAnswer("proxied-answers", cause);
	}

}
