package sycamorehill.engine;

/**
 * Names of the HTTP headers that the load balancer and targets exchange, as described in
 * docs/WIRE.md.
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
