package sycamorehill.logic.admission;

import java.time.Instant;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.peer.ShareAmounts;

/**
 * This node's part of one workspace's limits: what it owns by right, what others lend it
 * and what it lends.
 * <p>
 * Why the sum over all nodes never exceeds the limit: the parts owned by right add up to
 * the limit at most. A loan of an amount is entered by the lender before it is sent, with
 * an end on the lender's clock that counts from the sending; the borrower enters the same
 * amount with an end that counts from before its ask was sent, and that is earlier by
 * what the two clocks may drift apart. So at any instant, each loan that a borrower
 * counts is counted by its lender, whatever messages were lost, delayed or doubled. A
 * node lends only what it has until the loan's end ({@link #lend}), so what it lends
 * never exceeds what it owns and borrows, and what it uses is the difference. Summed over
 * the nodes, what is borrowed cancels out against what is lent. A node that dies uses
 * nothing, and its loans go back when the lender's entry ends. A node that restarts has
 * forgotten what it lent: it owns nothing until its longest loan must have ended
 * ({@link LimitState}).
 *
 * @param owned by right
 * @param borrowed by lender
 * @param lent by borrower
 * @param usable cached difference
 * @param usableUntil when the cached difference changes by itself
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
	 * Enters a loan from another node.
	 * @param lender who lends
	 * @param amounts what
	 * @param end when it ends here, counted from before the ask was sent
	 * @param now the time
	 * @return the account
	 */
	ShareAccount borrow(NodeIncarnation lender, ShareAmounts amounts, Instant end, Instant now) {
		if (!end.isAfter(now)) {
			return this;
		}
		LoanSet loans = this.borrowed.getOrDefault(lender, LoanSet.none()).plus(amounts, end, now);
		return of(this.owned, this.borrowed.plus(lender, loans), this.lent, now);
	}

	/**
	 * What can be lent to a node until an instant, beside what the others have.
	 * @param borrower the node
	 * @param end when the loan would end
	 * @param now the time
	 * @return what may be lent at the most
	 */
	ShareAmounts lendable(NodeIncarnation borrower, Instant end, Instant now) {
		ShareAmounts others = total(this.lent.minus(borrower), now);
		return this.owned.plus(total(this.borrowed.minus(borrower), end)).minus(others);
	}

	/**
	 * Enters a loan to another node.
	 * @param borrower who borrows
	 * @param amounts what, at most {@link #lendable}
	 * @param end when it ends, counted from now
	 * @param now the time
	 * @return the account
	 */
	ShareAccount lend(NodeIncarnation borrower, ShareAmounts amounts, Instant end, Instant now) {
		LoanSet loans = this.lent.getOrDefault(borrower, LoanSet.none()).plus(amounts, end, now);
		return of(this.owned, this.borrowed, this.lent.plus(borrower, loans), now);
	}

	/**
	 * What a node has of this one's.
	 * @param borrower the node
	 * @param now the time
	 * @return what it may count on now
	 */
	ShareAmounts lentTo(NodeIncarnation borrower, Instant now) {
		return this.lent.getOrDefault(borrower, LoanSet.none()).outstandingAt(now);
	}

	/**
	 * What this node may use.
	 * @param now the time
	 * @return what it owns and borrows without what it lends
	 */
	ShareAmounts usableAt(Instant now) {
		return now.isBefore(this.usableUntil) ? this.usable : of(this.owned, this.borrowed, this.lent, now).usable;
	}

	/**
	 * Whether there are loans in either direction.
	 * @param now the time
	 * @return whether the account must be kept
	 */
	boolean holdsLoans(Instant now) {
		return !total(this.borrowed, now).isNegligible() || !total(this.lent, now).isNegligible();
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
