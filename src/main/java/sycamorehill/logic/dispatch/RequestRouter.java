package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.Workspace;

/**
 * Decides whether a request may be given to any target: by its route, its key, and
 * whether its content has crashed targets.
 */
final class RequestRouter {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	/** When a content that was lost with several targets may come back: rarely. */
	private static final Duration SUSPECT_RETRY_AFTER = Duration.ofSeconds(30);

	private final CrashHistory crashHistory;

	private final Supplier<Duration> retryAfter;

	private Optional<Configuration> configuration = Optional.empty();

	private RouteTable routes = RouteTable.of(List.of());

	private RequestRouter(CrashHistory crashHistory, Supplier<Duration> retryAfter) {
		this.crashHistory = crashHistory;
		this.retryAfter = retryAfter;
	}

	/**
	 * Creates the gate, which refuses all before there is a configuration.
	 * @param crashHistory contents that were lost with targets
	 * @param retryAfter when a caller may come back that only came too early
	 * @return the gate
	 */
	static RequestRouter of(CrashHistory crashHistory, Supplier<Duration> retryAfter) {
		return new RequestRouter(crashHistory, retryAfter);
	}

	void adopt(Configuration newConfiguration) {
		this.configuration = Optional.of(newConfiguration);
		this.routes = RouteTable.of(newConfiguration.routes());
	}

	/**
	 * The configuration that requests are decided by.
	 * @return the configuration; empty before there is one
	 */
	Optional<Configuration> configuration() {
		return this.configuration;
	}

	Decision route(CallerRequest request) {
		if (this.configuration.isEmpty()) {
			return new Refused(UNAVAILABLE, "no configuration yet", Optional.of(this.retryAfter.get()));
		}
		Optional<Route> route = this.routes.find(request.host(), request.path());
		if (route.isEmpty()) {
			return new Refused(NOT_FOUND, "no route leads there", Optional.empty());
		}
		Optional<Workspace> workspace = request.key().map(this.configuration.get().workspaces()::get);
		if (workspace.isEmpty() && this.configuration.get().keysNeeded() && !route.get().open()) {
			return new Refused(UNAUTHORIZED, "the key is not known", Optional.empty());
		}
		if (this.crashHistory.isRefused(request.content())) {
			return new Refused(UNAVAILABLE, "not run: this content was lost with several targets",
					Optional.of(SUSPECT_RETRY_AFTER));
		}
		return new Routed(route.get(), workspace);
	}

	/**
	 * What becomes of a request.
	 */
	sealed interface Decision {

	}

	/**
	 * The request may be given to targets.
	 *
	 * @param route its route
	 * @param workspace the workspace that holds its key; empty on routes without keys
	 */
	record Routed(Route route, Optional<Workspace> workspace) implements Decision {
	}

	/**
	 * The request is refused and runs nowhere.
	 *
	 * @param status the status of the answer
	 * @param detail what the caller is told
	 * @param retryAfter when the caller may come back; empty if that is of no use
	 */
	record Refused(int status, String detail, Optional<Duration> retryAfter) implements Decision {
	}

}
