package sycamorehill.engine;

/**
 * Headers between us and targets, as docs/WIRE.md gives them.
 */
final class TargetHeaders {

	static final String ATTEMPT = "Sycamorehill-Attempt";

	static final String GENERATION = "Group-Generation";

	static final String NOT_RUN = "Not-Run";

	static final String LEAVING = "Leaving";

	static final String RETRY_AFTER = "Retry-After";

	private TargetHeaders() {
	}

}
