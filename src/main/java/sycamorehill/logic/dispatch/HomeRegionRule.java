package sycamorehill.logic.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.RegionName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.HomeRegions;

/**
 * Decides to which data centres the body of a request may be sent, by the home regions of
 * the request. A data centre whose region is not known is in no home region.
 */
public final class HomeRegionRule {

	/** Number of routes and workspaces that a log line names. */
	private static final int MAXIMUM_NAMED_OWNERS = 5;

	private final DataCentreName localDataCentre;

	private Map<DataCentreName, RegionName> regions;

	private HomeRegionRule(DataCentreName localDataCentre, Map<DataCentreName, RegionName> regions) {
		this.localDataCentre = localDataCentre;
		this.regions = regions;
	}

	static HomeRegionRule of(EntrySettings settings) {
		return new HomeRegionRule(settings.dataCentre(), settings.regions());
	}

	/**
	 * Applies changed regions of data centres.
	 * @param newRegions region of each data centre
	 */
	void updateRegions(Map<DataCentreName, RegionName> newRegions) {
		this.regions = newRegions;
	}

	/**
	 * Logs the home regions of a configuration that no data centre has. No target is ever
	 * in one of them, so that requests may have no target at all.
	 * @param configuration the configuration, which is being applied
	 * @param effects receives the resulting effects
	 */
	public void logUnknownRegions(Configuration configuration, Effects effects) {
		Map<RegionName, Set<String>> owners = new TreeMap<>();
		configuration.routes().forEach((route) -> addOwner(owners, route.homes(), "route " + route.name()));
		configuration.workspacesByApiKey()
			.values()
			.forEach((workspace) -> addOwner(owners, workspace.homes(), "workspace " + workspace.name()));
		owners.keySet().removeAll(this.regions.values());
		owners.forEach((region, names) -> effects.log(LogEvent.HOME_REGION_UNKNOWN,
				"region=" + region + " configuration=" + configuration.version() + " of='" + describe(names) + "'"));
	}

	private static void addOwner(Map<RegionName, Set<String>> owners, Set<RegionName> homes, String owner) {
		homes.forEach((region) -> owners.computeIfAbsent(region, (name) -> new TreeSet<>()).add(owner));
	}

	private static String describe(Set<String> names) {
		String first = names.stream().limit(MAXIMUM_NAMED_OWNERS).collect(Collectors.joining(", "));
		int more = names.size() - MAXIMUM_NAMED_OWNERS;
		return (more > 0) ? first + " and " + more + " more" : first;
	}

	Optional<RegionName> region(DataCentreName dataCentre) {
		return Optional.ofNullable(this.regions.get(dataCentre));
	}

	/**
	 * Returns whether a target in a data centre may receive a request.
	 * @param homes the home regions of the request
	 * @param dataCentre data centre of the target
	 * @return true if the data centre is in a home region
	 */
	boolean allowsTarget(HomeRegions homes, DataCentreName dataCentre) {
		return homes.allows(region(dataCentre));
	}

	/**
	 * Returns whether a request may be sent through a node in a data centre. The caller
	 * has sent the body to this node's region itself.
	 * @param homes the home regions of the request
	 * @param dataCentre data centre of the other node
	 * @return true if the data centre is in a home region or in this node's region
	 */
	boolean allowsNode(HomeRegions homes, DataCentreName dataCentre) {
		return allowsTarget(homes, dataCentre) || dataCentre.equals(this.localDataCentre)
				|| isInLocalRegion(dataCentre);
	}

	private boolean isInLocalRegion(DataCentreName dataCentre) {
		return region(dataCentre).filter((region) -> region(this.localDataCentre).filter(region::equals).isPresent())
			.isPresent();
	}

}
