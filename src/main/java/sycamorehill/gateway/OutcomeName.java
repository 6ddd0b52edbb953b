package sycamorehill.gateway;

import sycamorehill.model.request.RequestOutcome;

/**
 * The word for an outcome on the wire.
 */
final class OutcomeName {

	static final String COMPLETED = "completed";

	static final String NOT_RUN = "not-run";

	static final String FAILED = "failed";

	static final String UNKNOWN = "unknown";

	private OutcomeName() {
	}

	static String of(RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.NotRun) {
			return NOT_RUN;
		}
		if (outcome instanceof RequestOutcome.Failed) {
			return FAILED;
		}
		if (outcome instanceof RequestOutcome.Unknown) {
			return UNKNOWN;
		}
		return COMPLETED;
	}

}
