package sycamorehill.platform;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the platform's headers.
 */
final class PlatformHeaders {

	static final String ATTEMPT = "Attempt-Id";

	/** Time that is left, in whole milliseconds, though the name speaks of a deadline. */
	static final String TIME_LEFT = "Deadline-Ms";

	static final String EXPECT_INSTANCE = "Expect-Instance";

	/** What this project calls a workspace. */
	static final String WORKSPACE = "Tenant";

	static final String KEY = "Authorization";

	static final String KEY_SCHEME = "Token ";

	static final String MODEL = "Model";

	/**
	 * Tokens of the prompt and most tokens of the answer, though the name speaks of
	 * usage.
	 */
	static final String PROMPT_SIZE = "Token-Usage";

	static final String RESUME_AFTER = "Last-Event-Id";

	static final String PRIORITY = "Request-Priority";

	static final String EXPECT_WEIGHTS = "Expect-Version";

	static final String WEIGHTS = "Weight-Versions";

	static final String SIGNATURE = "Server-Signature";

	static final String NOT_RUN = "Not-Executed";

	/** Requests running, requests waiting and slots. */
	static final String LOAD = "Engine-Load";

	/** Requests a second that a target in need takes from all nodes together. */
	static final String LIMIT = "Server-Limit";

	static final String KEEP_ALIVE = "Keep-Alive";

	static final String RETRY_AFTER = "Retry-After";

	/** Headers of one connection, which are never passed on. */
	private static final Set<String> OF_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/** Headers that only the system itself tells targets. */
	private static final Set<String> OF_SYSTEM = Set.of(lower(TIME_LEFT), lower(EXPECT_INSTANCE), lower(WORKSPACE),
			lower(KEY), lower(PRIORITY), lower(EXPECT_WEIGHTS), lower(RESUME_AFTER));

	private PlatformHeaders() {
	}

	static boolean ofConnection(String name) {
		return OF_CONNECTION.contains(lower(name));
	}

	static boolean ofSystem(String name) {
		return OF_SYSTEM.contains(lower(name));
	}

	static String lower(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
