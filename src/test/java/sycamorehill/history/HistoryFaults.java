package sycamorehill.history;

/**
 * How often things go wrong, each as a share.
 *
 * @param lostFrame frames of an answer that never arrive
 * @param doubledFrame frames that arrive twice
 * @param lateFrame frames that others overtake
 * @param lostConnection attempts whose connection is lost while the target runs on
 * @param refusal attempts that the target refuses before running them
 * @param lostMessage messages between nodes that never arrive
 */
record HistoryFaults(double lostFrame, double doubledFrame, double lateFrame, double lostConnection, double refusal,
		double lostMessage) {

	static HistoryFaults none() {
		return new HistoryFaults(0, 0, 0, 0, 0, 0);
	}

	static HistoryFaults many() {
		return new HistoryFaults(0.01, 0.02, 0.02, 0.1, 0.1, 0.05);
	}

}
