package sycamorehill.gateway;

/**
 * A problem document as it stands on the wire.
 *
 * @param type names the kind of problem
 * @param title the kind in words
 * @param status the HTTP status
 * @param detail one sentence for people
 * @param outcome whether the request ran
 * @param reason the refusal reason
 * @param request identifies the call in logs and dumps
 */
record ProblemBody(String type, String title, int status, String detail, String outcome, String reason,
		String request) {

	private static final String TYPE_PREFIX = "urn:sycamorehill:problem:";

	static ProblemBody of(Problem problem, String request) {
		return new ProblemBody(TYPE_PREFIX + problem.reason(), problem.reason().replace('-', ' '), problem.status(),
				problem.detail(), problem.outcome(), problem.reason(), request);
	}

}
