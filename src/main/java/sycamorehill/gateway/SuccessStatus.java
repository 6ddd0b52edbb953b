package sycamorehill.gateway;

/**
 * HTTP status of answers that are no problem.
 */
final class SuccessStatus {

	static final int OK = 200;

	static final int NO_CONTENT = 204;

	private SuccessStatus() {
	}

}
