package sycamorehill.model.serving;

import java.util.Set;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.identity.WorkspaceName;

/**
 * Workspace to which callers belong by their API key.
 *
 * @param name the name that is sent to targets
 * @param priority priority among workspaces, 0 is the most urgent; it takes precedence
 * over the priority of the route
 * @param homes regions in which its requests may be served; empty if all may
 */
public record Workspace(WorkspaceName name, int priority, Set<RegionName> homes) {

	/**
	 * Copies the regions.
	 */
	public Workspace {
		homes = Set.copyOf(homes);
	}

	/**
	 * Creates a workspace whose requests may be served in all regions.
	 * @param name the name that is sent to targets
	 * @param priority priority among workspaces
	 */
	public Workspace(WorkspaceName name, int priority) {
		this(name, priority, Set.of());
	}

}
