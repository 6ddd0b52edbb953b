package sycamorehill.support;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.Workspace;

/**
 * Samples of a deployment with two regions: the data centre "north" is in the region
 * "east", "south" is in "west", and the region of "far" is not known.
 */
public final class TwoRegions {

	/** Data centre of the nodes under test, in the region "east". */
	public static final String NORTH = "north";

	/** Data centre in the region "west". */
	public static final String SOUTH = "south";

	/** Data centre whose region is not known. */
	public static final String FAR = "far";

	/** Region of "north". */
	public static final RegionName EAST = RegionName.of("east");

	/** Region of "south". */
	public static final RegionName WEST = RegionName.of("west");

	/** Region that no data centre has. */
	public static final RegionName NOWHERE = RegionName.of("nowhere");

	/** Region of each data centre, as far as known. */
	public static final Map<DataCentreName, RegionName> REGIONS = Map.of(DataCentreName.of(NORTH), EAST,
			DataCentreName.of(SOUTH), WEST);

	private TwoRegions() {
	}

	/**
	 * Settings of a node in "north".
	 * @param name the node's name
	 * @return the settings
	 */
	public static EntrySettings settings(String name) {
		return ServingSamples.settings(name).withRegions(REGIONS);
	}

	/**
	 * The sample configuration with home regions for all routes and workspaces.
	 * @param version its version
	 * @param ofRoutes home regions of the routes
	 * @param ofWorkspaces home regions of the workspaces
	 * @return the configuration
	 */
	public static Configuration configuration(long version, Set<RegionName> ofRoutes, Set<RegionName> ofWorkspaces) {
		Configuration sample = ServingSamples.configuration(version);
		List<Route> routes = sample.routes().stream().map((route) -> withHomes(route, ofRoutes)).toList();
		Map<String, Workspace> workspaces = new HashMap<>(sample.workspacesByApiKey());
		workspaces.replaceAll((key, workspace) -> new Workspace(workspace.name(), workspace.priority(), ofWorkspaces));
		return new Configuration(version, routes, sample.services(), sample.limits(), workspaces,
				sample.requiresApiKeys());
	}

	private static Route withHomes(Route route, Set<RegionName> homes) {
		return new Route(route.name(), route.host(), route.pathPrefix(), route.kind(), route.timeout(),
				route.latencyTarget(), route.pauseTarget(), route.priority(), route.services(), route.maximumAttempts(),
				route.allowsAnonymousCallers(), homes);
	}

	/**
	 * A target of the plain service.
	 * @param name its name
	 * @param dataCentre its data centre
	 * @return its entry
	 */
	public static TargetEntry plain(String name, String dataCentre) {
		return in(dataCentre, ServingSamples.plain(name));
	}

	/**
	 * The two engines of a serving group of the small model.
	 * @param number number of the group; the head is named "h" and the number
	 * @param dataCentre its data centre
	 * @return the entries of its engines
	 */
	public static Stream<TargetEntry> group(int number, String dataCentre) {
		String group = "small." + number;
		return Stream.of(in(dataCentre, ServingSamples.member("h" + number, group, number, 0, MemberState.OPEN)),
				in(dataCentre, ServingSamples.member("m" + number, group, number, 1, MemberState.READY)));
	}

	private static TargetEntry in(String dataCentre, TargetEntry entry) {
		return new TargetEntry(entry.name(), entry.service(), entry.address(), DataCentreName.of(dataCentre),
				entry.slots(), entry.leaving(), entry.startMillis(), entry.domain(), entry.staged(), entry.loaded(),
				entry.membership());
	}

	/**
	 * Another node, through which requests may be sent.
	 * @param name its name
	 * @param dataCentre its data centre
	 * @return its record
	 */
	public static NodeRecord node(String name, String dataCentre) {
		return new NodeRecord(name, Address.of("127.0.0.1", 7100), DataCentreName.of(dataCentre), 0.75,
				Optional.of(Address.of("127.0.0.1", 7200)));
	}

	/**
	 * Returns regions by their names.
	 * @param names the names
	 * @return the regions
	 */
	public static Set<RegionName> regions(String... names) {
		return Stream.of(names).map(RegionName::of).collect(Collectors.toSet());
	}

}
