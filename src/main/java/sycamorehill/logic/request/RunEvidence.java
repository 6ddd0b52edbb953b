package sycamorehill.logic.request;

/**
 * Evidence of whether a request ran, ordered from best to worst.
 */
enum RunEvidence {

	/** No target ran the request. */
	NOT_RUN,

	/** A target ran the request and failed. */
	FAILED,

	/** A target may have run the request, or may still be running it. */
	UNKNOWN;

	RunEvidence worseOf(RunEvidence other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
