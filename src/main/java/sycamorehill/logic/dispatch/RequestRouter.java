package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import sycamorehill.logic.Effects;
import sycamorehill.logic.crash.CrashRefusal;
import sycamorehill.logic.crash.CrashSuspicions;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.Workspace;

/**
 * Finds the route and the workspace of a request. Refuses requests without a route, with
 * an unknown key, or with a content that has crashed several targets.
 */
final class RequestRouter {

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final CrashSuspicions crashSuspicions;

	private final Supplier<Duration> retryAfter;

	private Optional<Configuration> configuration = Optional.empty();

	private RouteTable routes = RouteTable.of(List.of());

	private final KnownServices knownServices = KnownServices.create();

	private RequestRouter(CrashSuspicions crashSuspicions, Supplier<Duration> retryAfter) {
		this.crashSuspicions = crashSuspicions;
		this.retryAfter = retryAfter;
	}

	/**
	 * Creates a router, which refuses all requests until it has a configuration.
	 * @param crashSuspicions tells which requests crash targets
	 * @param retryAfter supplies the Retry-After for requests that arrive before the
	 * configuration
	 * @return the router
	 */
	static RequestRouter of(CrashSuspicions crashSuspicions, Supplier<Duration> retryAfter) {
		return new RequestRouter(crashSuspicions, retryAfter);
	}

	void adopt(Configuration newConfiguration) {
		this.configuration = Optional.of(newConfiguration);
		this.routes = RouteTable.of(newConfiguration.routes());
		this.knownServices.adopt(newConfiguration);
	}

	/**
	 * Returns the configuration by which requests are routed.
	 * @return the configuration; empty before the first one
	 */
	Optional<Configuration> configuration() {
		return this.configuration;
	}

	KnownServices knownServices() {
		return this.knownServices;
	}

	Decision route(CallerRequest request, Instant now, Effects effects) {
		Decision found = find(request);
		if (found instanceof Routed) {
			Optional<CrashRefusal> crashes = this.crashSuspicions.findRefusal(request, now, effects);
			if (crashes.isPresent()) {
				return new Refused(UNAVAILABLE, FinalAnswers.NOT_RUN_PREFIX + crashes.get().reason(),
						Optional.of(crashes.get().retryAfter()));
			}
		}
		return found;
	}

	/**
	 * Finds the route and the workspace of a request, whatever its content.
	 * @param request the request
	 * @return the route and the workspace, or the refusal
	 */
	Decision find(CallerRequest request) {
		if (this.configuration.isEmpty()) {
			return new Refused(UNAVAILABLE, "no configuration yet", Optional.of(this.retryAfter.get()));
		}
		Optional<Route> route = this.routes.find(request.host(), request.path());
		if (route.isEmpty()) {
			return new Refused(NOT_FOUND, "no route leads there", Optional.empty());
		}
		Optional<Workspace> workspace = request.apiKey().map(this.configuration.get().workspacesByApiKey()::get);
		if (workspace.isEmpty() && this.configuration.get().requiresApiKeys()
				&& !route.get().allowsAnonymousCallers()) {
			return new Refused(UNAUTHORIZED, "the key is not known", Optional.empty());
		}
		return new Routed(route.get(), workspace, this.configuration.get());
	}

	/**
	 * The result of routing a request.
	 */
	sealed interface Decision {

	}

	/**
	 * The request may be sent to targets.
	 *
	 * @param route the request's route
	 * @param workspace the workspace that the key belongs to; empty on routes without
	 * keys
	 * @param configuration the configuration that contains them
	 */
	record Routed(Route route, Optional<Workspace> workspace, Configuration configuration) implements Decision {

		ServiceParameters parameters(ServiceName service) {
			return this.configuration.service(service).orElseGet(() -> ServiceParameters.unknown(service));
		}

	}

	/**
	 * The request is refused without being sent to any target.
	 *
	 * @param status the HTTP status of the answer
	 * @param detail the explanation for the caller
	 * @param retryAfter when the caller may retry; empty if a retry is of no use
	 */
	record Refused(int status, String detail, Optional<Duration> retryAfter) implements Decision {
	}

}
