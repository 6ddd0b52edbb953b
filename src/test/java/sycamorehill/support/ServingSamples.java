package sycamorehill.support;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.CallerLimits;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestKind;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServiceParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.TokenCounts;
import sycamorehill.model.serving.WeightedService;
import sycamorehill.model.serving.Workspace;

/**
 * Samples of what an entry node meets.
 */
public final class ServingSamples {

	/** The plain service of the samples. */
	public static final ServiceName DESK = ServiceName.of("desk");

	/** The service of model engines of the samples. */
	public static final ServiceName ENGINES = ServiceName.of("engines");

	/** A model served by groups of four. */
	public static final ModelParameters LARGE = new ModelParameters("large", 4, 0.5, 1, Duration.ofSeconds(16),
			Duration.ofMillis(1600));

	/** A model served by pairs. */
	public static final ModelParameters SMALL = new ModelParameters("small", 2, 0.5, 0.6, Duration.ofSeconds(12),
			Duration.ofMillis(1100));

	private ServingSamples() {
	}

	/**
	 * Settings of a node.
	 * @param name the node's name
	 * @return the settings
	 */
	public static EntrySettings settings(String name) {
		return new EntrySettings(name, DataCentreName.of("north"),
				List.of(DataCentreName.of("north"), DataCentreName.of("south")), 0.75, 4200,
				Address.of("127.0.0.1", 7001), Address.of("127.0.0.1", 7002), Address.of("127.0.0.1", 7003),
				Address.of("127.0.0.1", 7005), Address.of("127.0.0.1", 7004), true, Duration.ofSeconds(8),
				Duration.ofSeconds(10), 0.2, 60, Duration.ofSeconds(5), Duration.ofSeconds(5));
	}

	/**
	 * Settings of one of many nodes.
	 * @param number its number, by which its name and port differ from the others'
	 * @param dataCentre its data centre
	 * @return the settings
	 */
	public static EntrySettings settings(int number, String dataCentre) {
		EntrySettings sample = settings("any");
		return new EntrySettings(dataCentre + "-" + (100 + number), DataCentreName.of(dataCentre), sample.dataCentres(),
				sample.processorCores(), sample.maximumDescriptors(), sample.callerAddress(), sample.readinessAddress(),
				Address.of("127.0.0.1", 8000 + number), Address.of("127.0.0.1", 9000 + number), sample.storeAddress(),
				true, sample.stopTime(), sample.retryWindow(), sample.retryRatio(), sample.retryAllowance(),
				sample.stallTime(), sample.loadWindow());
	}

	/**
	 * Another node of the same data centre and strength.
	 * @param name the node's name
	 * @param port where it takes messages
	 * @return its record
	 */
	public static NodeRecord node(String name, int port) {
		return new NodeRecord(name, Address.of("127.0.0.1", port), DataCentreName.of("north"), 0.75,
				Optional.of(Address.of("127.0.0.1", port + 1000)));
	}

	/**
	 * What the sample engines do.
	 * @return the figures
	 */
	public static EngineParameters engineFigures() {
		return new EngineParameters(12, 1_000_000, List.of(LARGE, SMALL), 5, Duration.ofNanos(7_800_000),
				Duration.ofNanos(134_000), 45_900, 5, 7, Duration.ofMillis(300), 979, 154);
	}

	/**
	 * Engines that serve other models.
	 * @param engines the engines
	 * @param models the models
	 * @return the engines with these models
	 */
	public static EngineParameters withModels(EngineParameters engines, List<ModelParameters> models) {
		return new EngineParameters(engines.slots(), engines.cacheTokens(), models, engines.stepsPerEvent(),
				engines.stepTime(), engines.stepTimePerRequest(), engines.prefillTokensPerSecond(),
				engines.loadsPerSecond(), engines.fullSpeedLoads(), engines.openingTime(), engines.meanPromptTokens(),
				engines.meanAnswerTokens());
	}

	/**
	 * A configuration with one route of each kind: /once/, /again/, /stream/ and /open/.
	 * @param version its version
	 * @return the configuration
	 */
	public static Configuration configuration(long version) {
		return configuration(version, engineFigures());
	}

	/**
	 * A configuration with the same routes and other engines.
	 * @param version its version
	 * @param engines what the engines do
	 * @return the configuration
	 */
	public static Configuration configuration(long version, EngineParameters engines) {
		Map<ServiceName, ServiceParameters> services = new HashMap<>();
		services.put(DESK, new ServiceParameters(DESK, 96, Optional.empty()));
		services.put(ENGINES, new ServiceParameters(ENGINES, 268, Optional.of(engines)));
		List<Route> routes = List.of(route("/once/", RequestKind.NON_IDEMPOTENT, DESK, 1),
				route("/again/", RequestKind.IDEMPOTENT, DESK, 2),
				route("/stream/", RequestKind.RESUMABLE_STREAM, ENGINES, 2),
				route("/single/", RequestKind.STREAM, ENGINES, 2));
		return new Configuration(version, routes, services, CallerLimits.INITIAL,
				Map.of("key", new Workspace(WorkspaceName.of("yard"), 1)), true);
	}

	private static Route route(String prefix, RequestKind kind, ServiceName service, int attempts) {
		return new Route(prefix, "feed.example", prefix, kind, Duration.ofSeconds(6), Duration.ofMillis(300),
				Optional.empty(), 1, List.of(new WeightedService(service, 1)), attempts, false);
	}

	/**
	 * A request with a good key.
	 * @param number its number
	 * @param path its path
	 * @return the request
	 */
	public static CallerRequest request(long number, String path) {
		Optional<String> model = path.startsWith("/s") ? Optional.of(SMALL.name()) : Optional.empty();
		return new CallerRequest(number, "r" + number, "feed.example", path, Optional.of("key"), model,
				Optional.of(new TokenCounts(700, 175)), List.of(), Optional.of(Duration.ofSeconds(6)), number * 31);
	}

	/**
	 * A target of the plain service.
	 * @param name its name
	 * @return its entry
	 */
	public static TargetEntry plain(String name) {
		return new TargetEntry(TargetName.of(name), DESK, Address.of("127.0.0.1", 8000 + name.hashCode() % 1000),
				DataCentreName.of("north"), 6, false, 1, Optional.empty(), Set.of(), Optional.empty(),
				Optional.empty());
	}

	/**
	 * An engine without a group.
	 * @param name its name
	 * @param domain its fabric domain
	 * @return its entry
	 */
	public static TargetEntry engine(String name, String domain) {
		return new TargetEntry(TargetName.of(name), ENGINES,
				Address.of("127.0.0.1", 9000 + Math.abs(name.hashCode() % 900)), DataCentreName.of("north"), 12, false,
				1, Optional.of(domain), Set.of(), Optional.empty(), Optional.empty());
	}

	/**
	 * An engine in a group of the small model.
	 * @param name its name
	 * @param group the group
	 * @param epoch the group's epoch
	 * @param rank its rank
	 * @param state its state
	 * @return its entry
	 */
	public static TargetEntry member(String name, String group, long epoch, int rank, MemberState state) {
		TargetEntry engine = engine(name, "d0");
		return new TargetEntry(engine.name(), ENGINES, engine.address(), engine.dataCentre(), 12, false, 1,
				engine.domain(), Set.of(SMALL.name()), Optional.of(SMALL.name()),
				Optional.of(new Membership(group, epoch, rank, state)));
	}

}
