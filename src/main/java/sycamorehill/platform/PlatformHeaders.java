package sycamorehill.platform;

import java.util.Locale;
import java.util.Set;

/**
 * Defines the names of the platform's HTTP headers.
 */
final class PlatformHeaders {

	static final String ATTEMPT_IDENTIFIER = "Attempt-Id";

	/** Remaining time in whole milliseconds; the header's name suggests a deadline. */
	static final String TIME_LEFT = "Deadline-Ms";

	static final String EXPECTED_INSTANCE = "Expect-Instance";

	/** Name of the workspace, which the platform calls a tenant. */
	static final String WORKSPACE = "Tenant";

	static final String AUTHORIZATION = "Authorization";

	static final String AUTHORIZATION_SCHEME = "Token ";

	static final String MODEL = "Model";

	/**
	 * Number of prompt tokens and maximum number of answer tokens; the header's name
	 * suggests usage.
	 */
	static final String TOKEN_COUNTS = "Token-Usage";

	/**
	 * Parts of the prompt in order, as ID:TOKENS; the last one belongs to the request.
	 */
	static final String PROMPT_PARTS = "Prompt-Prefix";

	static final String RESUME_AFTER = "Last-Event-Id";

	static final String PRIORITY = "Request-Priority";

	static final String EXPECTED_WEIGHTS_VERSION = "Expect-Version";

	static final String WEIGHTS_VERSION = "Weight-Versions";

	static final String SERVER_SIGNATURE = "Server-Signature";

	static final String NOT_EXECUTED = "Not-Executed";

	/** Number of running requests, of waiting requests and of slots. */
	static final String ENGINE_LOAD = "Engine-Load";

	/** Requests per second that a rate-limited target accepts from all nodes together. */
	static final String RATE_LIMIT = "Server-Limit";

	/** Value 1 in all answers of a target that is about to stop. */
	static final String LEAVING = "Server-Leaving";

	static final String KEEP_ALIVE = "Keep-Alive";

	static final String RETRY_AFTER = "Retry-After";

	/**
	 * Headers, in lower case, that concern one connection or the framing of its messages
	 * and are never forwarded.
	 */
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/**
	 * Headers, in lower case, that only the load balancer sets on requests to targets. A
	 * caller's own values are dropped.
	 */
	private static final Set<String> SYSTEM_HEADERS = Set.of(lowerCase(TIME_LEFT), lowerCase(EXPECTED_INSTANCE),
			lowerCase(WORKSPACE), lowerCase(AUTHORIZATION), lowerCase(PRIORITY), lowerCase(EXPECTED_WEIGHTS_VERSION),
			lowerCase(RESUME_AFTER));

	private PlatformHeaders() {
	}

	static boolean isHopByHop(String name) {
		return HOP_BY_HOP_HEADERS.contains(lowerCase(name));
	}

	static boolean isSystemHeader(String name) {
		return SYSTEM_HEADERS.contains(lowerCase(name));
	}

	static String lowerCase(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
