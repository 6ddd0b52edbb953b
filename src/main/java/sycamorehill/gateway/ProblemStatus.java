package sycamorehill.gateway;

import sycamorehill.model.request.RefusalReason;

/**
 * HTTP status of each refusal.
 */
final class ProblemStatus {

	static final int BAD_REQUEST = 400;

	static final int UNAUTHORIZED = 401;

	static final int NOT_FOUND = 404;

	static final int REQUEST_TIMEOUT = 408;

	static final int CONFLICT = 409;

	static final int CONTENT_TOO_LARGE = 413;

	static final int UNPROCESSABLE = 422;

	static final int TOO_MANY_REQUESTS = 429;

	static final int CLIENT_CLOSED = 499;

	static final int BAD_GATEWAY = 502;

	static final int UNAVAILABLE = 503;

	private ProblemStatus() {
	}

	static int of(RefusalReason reason) {
		return switch (reason) {
			case BAD_REQUEST -> BAD_REQUEST;
			case UNAUTHENTICATED -> UNAUTHORIZED;
			case UNKNOWN_SERVICE -> NOT_FOUND;
			case STILL_RUNNING -> CONFLICT;
			case QUARANTINED, KEY_REUSED -> UNPROCESSABLE;
			case LIMIT_REACHED -> TOO_MANY_REQUESTS;
			case CALLER_GONE -> CLIENT_CLOSED;
			case TARGET_FAILED, TARGET_LOST -> BAD_GATEWAY;
			case OVERLOADED, DEADLINE_TOO_SHORT, NO_TARGET, ORDER_STORE_UNAVAILABLE, NODE_NOT_READY, NODE_STOPPING,
					TARGET_REFUSED ->
				UNAVAILABLE;
		};
	}

}
