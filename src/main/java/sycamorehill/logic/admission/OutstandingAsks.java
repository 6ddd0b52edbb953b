package sycamorehill.logic.admission;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.peer.ShareAsk;

/**
 * The asks of other nodes that this node, as their coordinator, tries to satisfy.
 *
 * @param asked the last ask of each node
 */
record OutstandingAsks(PMap<NodeIdentity, OutstandingAsk> asked) {

	static OutstandingAsks none() {
		return new OutstandingAsks(HashTreePMap.empty());
	}

	OutstandingAsks plus(NodeIdentity node, OutstandingAsk ask) {
		return new OutstandingAsks(this.asked.plus(node, ask));
	}

	/**
	 * Drops the asks that were not repeated in time.
	 * @param now the current time
	 * @return the asks that are still valid
	 */
	OutstandingAsks withoutExpired(Instant now) {
		PMap<NodeIdentity, OutstandingAsk> remaining = this.asked;
		for (var entry : this.asked.entrySet()) {
			if (!entry.getValue().until().isAfter(now)) {
				remaining = remaining.minus(entry.getKey());
			}
		}
		return (remaining != this.asked) ? new OutstandingAsks(remaining) : this;
	}

	/**
	 * Returns the sum of the asked amounts.
	 * @param withOtherDataCentres whether to include the asks of other data centres
	 * @return the sum
	 */
	ShareAmounts total(boolean withOtherDataCentres) {
		ShareAmounts total = ShareAmounts.NONE;
		for (OutstandingAsk ask : this.asked.values()) {
			if (withOtherDataCentres || ask.scope() == ShareAsk.Scope.TO_COORDINATOR) {
				total = total.plus(ask.amounts());
			}
		}
		return total;
	}

	boolean isEmpty() {
		return this.asked.isEmpty();
	}

	/**
	 * An ask of one node.
	 *
	 * @param amounts the asked amounts
	 * @param number the number of the ask, which further loans refer to
	 * @param scope where the ask came from
	 * @param until when the ask expires unless it is repeated
	 * @param answersLeft how many further loans may still be sent for it
	 */
	record OutstandingAsk(ShareAmounts amounts, long number, ShareAsk.Scope scope, Instant until, int answersLeft) {

		OutstandingAsk answered() {
			return new OutstandingAsk(this.amounts, this.number, this.scope, this.until, this.answersLeft - 1);
		}

	}

}
