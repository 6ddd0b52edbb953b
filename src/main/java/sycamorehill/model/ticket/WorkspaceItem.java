package sycamorehill.model.ticket;

import sycamorehill.model.identity.WorkspaceName;

/**
 * A workspace with its key and its limits, which apply to all nodes together.
 *
 * @param name the name of the workspace
 * @param keyHash the SHA-256 hash of the workspace key in lower-case hexadecimal digits;
 * the key itself is never stored
 * @param requestsPerSecond the maximum number of requests per second
 * @param tokensPerSecond the maximum number of tokens (prompt and generated) per second
 * @param inFlight the maximum number of requests in flight
 * @param weight the weight of the workspace in a contended queue, 1 or more
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
