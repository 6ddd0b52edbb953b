package sycamorehill.logic.admission;

import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

import sycamorehill.model.peer.ShareAmounts;

/**
 * The loans of one workspace's limits between this node and one other, in one direction.
 * A newer loan does not replace the older ones, because its message can be lost. Both
 * sides count the largest amounts among the loans that have not expired.
 *
 * @param loans the loans in the order in which they were added
 */
record LoanSet(PVector<Loan> loans) {

	static LoanSet none() {
		return new LoanSet(TreePVector.empty());
	}

	/**
	 * Adds a loan and drops those that have expired or no longer matter.
	 * @param amounts the lent amounts
	 * @param end when the loan expires
	 * @param now the current time
	 * @return the updated loans
	 */
	LoanSet plus(ShareAmounts amounts, Instant end, Instant now) {
		PVector<Loan> remaining = TreePVector.empty();
		for (Loan loan : this.loans) {
			boolean dominated = !loan.end().isAfter(end) && loan.amounts().max(amounts).equals(amounts);
			if (loan.end().isAfter(now) && !dominated) {
				remaining = remaining.plus(loan);
			}
		}
		return new LoanSet(remaining.plus(new Loan(amounts, end)));
	}

	/**
	 * Returns the amounts that remain lent until after an instant.
	 * @param instant the instant
	 * @return the largest amounts among the loans that expire after it
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
	 * Returns when the lent amounts next change.
	 * @param now the current time
	 * @return the first expiry after now, {@link Instant#MAX} if no loan is left
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
	 * @param amounts the lent amounts
	 * @param end when it expires, on this node's clock
	 */
	record Loan(ShareAmounts amounts, Instant end) {
	}

}
