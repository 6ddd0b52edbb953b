package sycamorehill.standin;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.identity.VmName;

/**
 * What one engine of the stand-ins notices of the others: its group's members over the
 * fabric, and the loads that share the weight store.
 */
interface EngineFleet {

	/**
	 * Whether all members are ready in the group.
	 * @param group the group and generation
	 * @param members its members
	 * @return whether the replica is whole
	 */
	boolean whole(GroupIdentity group, List<VmName> members);

	/**
	 * Tells the other members that one is gone from the group.
	 * @param group the group and generation
	 * @param members its members
	 */
	void memberLost(GroupIdentity group, List<VmName> members);

	/**
	 * The weight store that all engines load from.
	 * @return the store
	 */
	WeightStore weightStore();

	/**
	 * Loads share the store's rate: each one beyond what it carries slows the next.
	 */
	final class WeightStore {

		private final AtomicInteger active = new AtomicInteger();

		private final int concurrentLoads;

		WeightStore(int concurrentLoads) {
			this.concurrentLoads = concurrentLoads;
		}

		Duration begin(Duration load) {
			int loads = this.active.incrementAndGet();
			double factor = Math.max(1.0, (double) loads / this.concurrentLoads);
			return Duration.ofNanos((long) (load.toNanos() * factor));
		}

		void end() {
			this.active.decrementAndGet();
		}

		String toJson() {
			return "{\"concurrentLoads\": " + this.concurrentLoads + ", \"activeLoads\": " + this.active.get() + "}";
		}

	}

}
