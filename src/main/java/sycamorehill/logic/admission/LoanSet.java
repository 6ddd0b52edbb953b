package sycamorehill.logic.admission;

import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.model.peer.ShareAmounts;

/**
 * The loans between this node and one other of one workspace's limits, by end. A newer
 * loan does not end the older ones, since its message may be lost: both sides count the
 * greatest of those that have not ended.
 *
 * @param loans the loans, the first to end first
 */
record LoanSet(PVector<Loan> loans) {

	static LoanSet none() {
		return new LoanSet(TreePVector.empty());
	}

	/**
	 * Adds a loan and drops those that say nothing any more.
	 * @param amounts what is lent
	 * @param end when it ends
	 * @param now the time
	 * @return the loans
	 */
	LoanSet plus(ShareAmounts amounts, Instant end, Instant now) {
		PVector<Loan> kept = TreePVector.empty();
		for (Loan loan : this.loans) {
			boolean dominated = !loan.end().isAfter(end) && loan.amounts().max(amounts).equals(amounts);
			if (loan.end().isAfter(now) && !dominated) {
				kept = kept.plus(loan);
			}
		}
		return new LoanSet(kept.plus(new Loan(amounts, end)));
	}

	/**
	 * What is lent until an instant at the least.
	 * @param instant the instant
	 * @return the greatest loan that has not ended at it
	 */
	ShareAmounts outstandingAt(Instant instant) {
		ShareAmounts greatest = ShareAmounts.NONE;
		for (Loan loan : this.loans) {
			if (loan.end().isAfter(instant)) {
				greatest = greatest.max(loan.amounts());
			}
		}
		return greatest;
	}

	/**
	 * When what is lent changes next.
	 * @param now the time
	 * @return the first end after now, or the far future
	 */
	Instant nextEnd(Instant now) {
		Instant next = Instant.MAX;
		for (Loan loan : this.loans) {
			if (loan.end().isAfter(now) && loan.end().isBefore(next)) {
				next = loan.end();
			}
		}
		return next;
	}

	/**
	 * One loan.
	 *
	 * @param amounts what is lent
	 * @param end when it ends, on this node's clock
	 */
	record Loan(ShareAmounts amounts, Instant end) {
	}

}
