package sycamorehill.logic.request;

/**
 * What the attempts so far say about whether the request ran, from the best to the worst.
 */
enum RunEvidence {

	/** No target ran it. */
	NOT_RUN,

	/** A target ran it and failed. */
	FAILED,

	/** A target may have run it, or may be running it still. */
	UNKNOWN;

	RunEvidence worseOf(RunEvidence other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
