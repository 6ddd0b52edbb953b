package sycamorehill.model.serving;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.model.identity.RegionName;

/**
 * The home regions of a request: those of its route and those of its workspace. Both
 * lists bind, and an empty list allows all regions.
 *
 * @param ofRoute regions that the route allows
 * @param ofWorkspace regions that the workspace allows
 */
public record HomeRegions(Set<RegionName> ofRoute, Set<RegionName> ofWorkspace) {

	/** No restriction. */
	public static final HomeRegions ALL = new HomeRegions(Set.of(), Set.of());

	/**
	 * Copies the regions.
	 */
	public HomeRegions {
		ofRoute = Set.copyOf(ofRoute);
		ofWorkspace = Set.copyOf(ofWorkspace);
	}

	/**
	 * Returns the home regions of requests on a route.
	 * @param route the route
	 * @param workspace the workspace; empty for anonymous callers
	 * @return the home regions
	 */
	public static HomeRegions of(Route route, Optional<Workspace> workspace) {
		return new HomeRegions(route.homes(), workspace.map(Workspace::homes).orElse(Set.of()));
	}

	/**
	 * Returns whether there are regions in which the request must not be served.
	 * @return false if both lists are empty
	 */
	public boolean isRestricted() {
		return !this.ofRoute.isEmpty() || !this.ofWorkspace.isEmpty();
	}

	/**
	 * Returns whether the request may be served in a region.
	 * @param region the region; empty if it is not known
	 * @return true if both lists allow it
	 */
	public boolean allows(Optional<RegionName> region) {
		return !isRestricted()
				|| region.filter((known) -> allows(this.ofRoute, known) && allows(this.ofWorkspace, known)).isPresent();
	}

	private static boolean allows(Set<RegionName> regions, RegionName region) {
		return regions.isEmpty() || regions.contains(region);
	}

	/**
	 * Describes the restriction for causes and logs.
	 * @return the lists that restrict the request, in order; empty if none does
	 */
	public String describe() {
		String route = this.ofRoute.isEmpty() ? "" : "home regions of the route " + sorted(this.ofRoute);
		String workspace = this.ofWorkspace.isEmpty() ? ""
				: "home regions of the workspace " + sorted(this.ofWorkspace);
		return Stream.of(route, workspace).filter((list) -> !list.isEmpty()).collect(Collectors.joining(", "));
	}

	private static Collection<RegionName> sorted(Set<RegionName> regions) {
		return new TreeSet<>(regions);
	}

}
