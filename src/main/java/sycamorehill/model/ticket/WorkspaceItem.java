package sycamorehill.model.ticket;

import sycamorehill.model.identity.WorkspaceName;

/**
 * A workspace with its key and its limits over all nodes together.
 *
 * @param name the workspace's name
 * @param keyHash SHA-256 of the workspace's key in lower-case hex; the key itself is
 * never kept
 * @param requestsPerSecond the most requests a second
 * @param tokensPerSecond the most tokens (prompt and generated) a second
 * @param inFlight the most requests in flight
 * @param weight the workspace's part of a contended queue, 1 or more
 */
public record WorkspaceItem(WorkspaceName name, String keyHash, double requestsPerSecond, double tokensPerSecond,
		int inFlight, int weight) implements Item {

	@Override
	public ItemKey key() {
		return ItemKey.of(ItemKind.WORKSPACE, this.name.value());
	}

	@Override
	public String toString() {
		return "WorkspaceItem[name=" + this.name + "]";
	}

}
