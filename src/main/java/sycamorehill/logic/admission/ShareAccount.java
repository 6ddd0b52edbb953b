package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.peer.ShareAmounts;

/**
 * This node's share of one workspace's limits: what it owns, what it borrows from other
 * nodes and what it lends to them.
 * <p>
 * The sum of the usable shares of all nodes never exceeds the limit, for these reasons:
 * <ul>
 * <li>The owned shares add up to at most the limit.</li>
 * <li>A lender records a loan before it sends it, with an expiry that counts from the
 * sending. The borrower records the same amounts with an expiry that counts from before
 * it sent its ask, reduced by the possible drift between the two clocks. So whenever a
 * borrower counts a loan, its lender counts it too, even if messages are lost, delayed or
 * duplicated.</li>
 * <li>A node lends only what it has until the loan expires ({@link #lend}). So it never
 * lends more than it owns and borrows, and it uses only the difference. Over all nodes,
 * the borrowed and the lent amounts cancel out.</li>
 * <li>A crashed node uses nothing, and its loans return when the lender's records
 * expire.</li>
 * <li>A restarted node does not know what it lent, so it owns nothing until its longest
 * loan has expired ({@link LimitState}).</li>
 * </ul>
 *
 * @param owned the share that the node owns without a loan
 * @param borrowed the loans from other nodes, by lender
 * @param lent the loans to other nodes, by borrower
 * @param usable the cached usable share
 * @param usableUntil when the cached usable share changes because a loan expires
 */
record ShareAccount(ShareAmounts owned, PMap<NodeIncarnation, LoanSet> borrowed, PMap<NodeIncarnation, LoanSet> lent,
		ShareAmounts usable, Instant usableUntil) {

	static ShareAccount empty() {
		return new ShareAccount(ShareAmounts.NONE, HashTreePMap.empty(), HashTreePMap.empty(), ShareAmounts.NONE,
				Instant.MIN);
	}

	ShareAccount withOwned(ShareAmounts changed, Instant now) {
		if (changed.equals(this.owned) && now.isBefore(this.usableUntil)) {
			return this;
		}
		return of(changed, this.borrowed, this.lent, now);
	}

	/**
	 * Records a loan from another node.
	 * @param lender the node that lends
	 * @param amounts the lent amounts
	 * @param end when the loan expires here, counted from before the ask was sent
	 * @param now the current time
	 * @return the updated account
	 */
	ShareAccount borrow(NodeIncarnation lender, ShareAmounts amounts, Instant end, Instant now) {
		if (!end.isAfter(now)) {
			return this;
		}
		LoanSet loans = this.borrowed.getOrDefault(lender, LoanSet.none()).plus(amounts, end, now);
		return of(this.owned, this.borrowed.plus(lender, loans), this.lent, now);
	}

	/**
	 * Returns what can be lent to a node until an instant, besides what is lent to other
	 * nodes.
	 * @param borrower the node that borrows
	 * @param end when the loan would expire
	 * @param now the current time
	 * @return the maximum amounts that may be lent
	 */
	ShareAmounts lendable(NodeIncarnation borrower, Instant end, Instant now) {
		ShareAmounts others = total(this.lent.minus(borrower), now);
		return this.owned.plus(total(this.borrowed.minus(borrower), end)).minus(others);
	}

	/**
	 * Records a loan to another node.
	 * @param borrower the node that borrows
	 * @param amounts the lent amounts, at most {@link #lendable}
	 * @param end when the loan expires, counted from now
	 * @param now the current time
	 * @return the updated account
	 */
	ShareAccount lend(NodeIncarnation borrower, ShareAmounts amounts, Instant end, Instant now) {
		LoanSet loans = this.lent.getOrDefault(borrower, LoanSet.none()).plus(amounts, end, now);
		return of(this.owned, this.borrowed, this.lent.plus(borrower, loans), now);
	}

	/**
	 * Returns what is currently lent to a node.
	 * @param borrower the node that borrows
	 * @param now the current time
	 * @return the amounts that the node may count
	 */
	ShareAmounts lentTo(NodeIncarnation borrower, Instant now) {
		return this.lent.getOrDefault(borrower, LoanSet.none()).outstandingAt(now);
	}

	/**
	 * Returns what this node may use.
	 * @param now the current time
	 * @return the owned and borrowed amounts minus the lent ones
	 */
	ShareAmounts usableAt(Instant now) {
		return now.isBefore(this.usableUntil) ? this.usable : of(this.owned, this.borrowed, this.lent, now).usable;
	}

	/**
	 * Returns whether there are loans in either direction.
	 * @param now the current time
	 * @return whether the account must be kept
	 */
	boolean holdsLoans(Instant now) {
		return !total(this.borrowed, now).areNegligible() || !total(this.lent, now).areNegligible();
	}

	private static ShareAccount of(ShareAmounts owned, PMap<NodeIncarnation, LoanSet> borrowed,
			PMap<NodeIncarnation, LoanSet> lent, Instant now) {
		PMap<NodeIncarnation, LoanSet> liveBorrowed = withoutExpired(borrowed, now);
		PMap<NodeIncarnation, LoanSet> liveLent = withoutExpired(lent, now);
		ShareAmounts usable = owned.plus(total(liveBorrowed, now)).minus(total(liveLent, now));
		return new ShareAccount(owned, liveBorrowed, liveLent, usable, nextEnd(liveBorrowed, liveLent, now));
	}

	private static PMap<NodeIncarnation, LoanSet> withoutExpired(PMap<NodeIncarnation, LoanSet> loans, Instant now) {
		PMap<NodeIncarnation, LoanSet> live = loans;
		for (var entry : loans.entrySet()) {
			if (entry.getValue().nextEnd(now).equals(Instant.MAX)) {
				live = live.minus(entry.getKey());
			}
		}
		return live;
	}

	private static Instant nextEnd(PMap<NodeIncarnation, LoanSet> borrowed, PMap<NodeIncarnation, LoanSet> lent,
			Instant now) {
		Instant next = Instant.MAX;
		for (PMap<NodeIncarnation, LoanSet> side : List.of(borrowed, lent)) {
			for (LoanSet loans : side.values()) {
				Instant end = loans.nextEnd(now);
				next = end.isBefore(next) ? end : next;
			}
		}
		return next;
	}

	private static ShareAmounts total(PMap<NodeIncarnation, LoanSet> side, Instant instant) {
		ShareAmounts total = ShareAmounts.NONE;
		for (LoanSet loans : side.values()) {
			total = total.plus(loans.outstandingAt(instant));
		}
		return total;
	}

}
