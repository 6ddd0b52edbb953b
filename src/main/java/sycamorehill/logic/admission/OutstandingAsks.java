package sycamorehill.logic.admission;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.peer.ShareAsk;

/**
 * What other nodes have asked this one for, as their coordinator.
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
	 * Drops what was not asked for again.
	 * @param now the time
	 * @return the wants that still hold
	 */
	OutstandingAsks withoutExpired(Instant now) {
		PMap<NodeIdentity, OutstandingAsk> kept = this.asked;
		for (var entry : this.asked.entrySet()) {
			if (!entry.getValue().until().isAfter(now)) {
				kept = kept.minus(entry.getKey());
			}
		}
		return (kept != this.asked) ? new OutstandingAsks(kept) : this;
	}

	/**
	 * The sum of the wants.
	 * @param withOtherDataCentres whether those of other data centres count
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
	 * One want.
	 *
	 * @param amounts what is wanted
	 * @param number of the ask, for later answers to it
	 * @param scope where it came from
	 * @param until when it is forgotten unless asked again
	 * @param answersLeft how often it may still be answered later
	 */
	record OutstandingAsk(ShareAmounts amounts, long number, ShareAsk.Scope scope, Instant until, int answersLeft) {

		OutstandingAsk answered() {
			return new OutstandingAsk(this.amounts, this.number, this.scope, this.until, this.answersLeft - 1);
		}

	}

}
