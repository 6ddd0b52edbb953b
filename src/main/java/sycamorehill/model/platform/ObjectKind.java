package sycamorehill.model.platform;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.membership.NodeAnnouncement;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.TicketValue;

/**
 * Kinds of the node's objects in the platform, with the type of their values.
 */
public enum ObjectKind {

	/** One object for each ticket, named by its number with leading zeros. */
	TICKET("tickets", TicketValue.class),

	/** Snapshot of the desired state after a ticket. */
	SNAPSHOT("snapshots", DesiredStateSnapshot.class),

	/** One object for each data centre, which assigns its VMs to groups. */
	ALLOCATION("allocations", Allocation.class),

	/** One object for each data centre, which names the controller of its groups. */
	CONTROLLER_LEASE("controller-leases", ControllerLease.class),

	/** One object for each shard of order keys. */
	ORDER_SHARD("order-shards", OrderShard.class),

	/** One object for each node, which introduces it to the other nodes. */
	NODE("nodes", NodeAnnouncement.class);

	private final String path;

	private final Class<? extends PlatformValue> valueType;

	ObjectKind(String path, Class<? extends PlatformValue> valueType) {
		this.path = path;
		this.valueType = valueType;
	}

	/**
	 * Returns the name of the kind in the platform's paths.
	 * @return the path element
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns the type of the kind's values.
	 * @return the type
	 */
	public Class<? extends PlatformValue> valueType() {
		return this.valueType;
	}

}
