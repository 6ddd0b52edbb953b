package sycamorehill.model.platform;

import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.ControllerLease;
import sycamorehill.model.membership.NodeAnnouncement;
import sycamorehill.model.order.OrderShard;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.TicketValue;

/**
 * Our kinds of objects in the platform and the type of value that each holds.
 */
public enum ObjectKind {

	/** One object for each ticket, named by its number with leading zeros. */
	TICKET("tickets", TicketValue.class),

	/** The truth after some ticket. */
	SNAPSHOT("snapshots", DesiredStateSnapshot.class),

	/** One object for each data centre: which VM is in which group. */
	ALLOCATION("allocations", Allocation.class),

	/** One object for each data centre: who controls its groups. */
	CONTROLLER_LEASE("controller-leases", ControllerLease.class),

	/** One object for each shard of order keys. */
	ORDER_SHARD("order-shards", OrderShard.class),

	/** One object for each node, which introduces it to the others. */
	NODE("nodes", NodeAnnouncement.class);

	private final String path;

	private final Class<? extends PlatformValue> valueType;

	ObjectKind(String path, Class<? extends PlatformValue> valueType) {
		this.path = path;
		this.valueType = valueType;
	}

	/**
	 * The name of the kind in the platform's paths.
	 * @return the path element
	 */
	public String path() {
		return this.path;
	}

	/**
	 * The type of the kind's values.
	 * @return the type
	 */
	public Class<? extends PlatformValue> valueType() {
		return this.valueType;
	}

}
