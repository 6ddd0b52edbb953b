package sycamorehill.platform;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the platform's headers.
 */
final class PlatformHeaders {

	static final String ATTEMPT_IDENTIFIER = "Attempt-Id";

	/** Time that is left, in whole milliseconds, though the name speaks of a deadline. */
	static final String TIME_LEFT = "Deadline-Ms";

	static final String EXPECTED_INSTANCE = "Expect-Instance";

	/** What this project calls a workspace. */
	static final String WORKSPACE = "Tenant";

	static final String AUTHORIZATION = "Authorization";

	static final String AUTHORIZATION_SCHEME = "Token ";

	static final String MODEL = "Model";

	/**
	 * Tokens of the prompt and most tokens of the answer, though the name speaks of
	 * usage.
	 */
	static final String TOKEN_COUNTS = "Token-Usage";

	static final String RESUME_AFTER = "Last-Event-Id";

	static final String PRIORITY = "Request-Priority";

	static final String EXPECTED_WEIGHTS_VERSION = "Expect-Version";

	static final String WEIGHTS_VERSION = "Weight-Versions";

	static final String SERVER_SIGNATURE = "Server-Signature";

	static final String NOT_EXECUTED = "Not-Executed";

	/** Requests running, requests waiting and slots. */
	static final String ENGINE_LOAD = "Engine-Load";

	/** Requests a second that a target in need takes from all nodes together. */
	static final String RATE_LIMIT = "Server-Limit";

	static final String KEEP_ALIVE = "Keep-Alive";

	static final String RETRY_AFTER = "Retry-After";

	/** Headers of one connection, which are never passed on. */
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/** Headers that only the system itself tells targets. */
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
