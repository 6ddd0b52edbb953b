package sycamorehill.operator;

/**
 * Holds the answer to an operator's call.
 *
 * @param status the HTTP status
 * @param body the value that is written as JSON
 */
record OperatorAnswer(int status, Object body) {

	static final int OK = 200;

	static final int CREATED = 201;

	static final int BAD_REQUEST = 400;

	static final int NOT_FOUND = 404;

	static final int CONFLICT = 409;

	static final int SERVICE_UNAVAILABLE = 503;

	static final int GATEWAY_TIMEOUT = 504;

	static OperatorAnswer of(int status, Object body) {
		return new OperatorAnswer(status, body);
	}

	static OperatorAnswer error(int status, String detail) {
		return new OperatorAnswer(status, new OperatorError(detail));
	}

}
