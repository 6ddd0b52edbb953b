package sycamorehill.logic.ticket;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.model.ticket.AcceptedFiling;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.support.Drafts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the current desired state and its history.
 */
class TicketLogTests {

	private static final int KEPT = 3;

	private static final TicketLog AT_FIVE = TicketLog.empty()
		.adopt(new DesiredStateSnapshot(2, List.of(), 1, 0, List.of()), KEPT)
		.append(ticket(3), KEPT, KEPT)
		.append(ticket(4), KEPT, KEPT)
		.append(ticket(5), KEPT, KEPT);

	@Test
	void lowerSnapshotIsIgnored() {
		// A delayed snapshot of a peer arrives after later tickets. A node that adopted
		// it would revert to an older state.
		assertThat(AT_FIVE.adopt(new DesiredStateSnapshot(4, List.of(), 1, 0, List.of()), KEPT).number()).isEqualTo(5);
	}

	@Test
	void lateTicketIsIgnored() {
		assertThat(AT_FIVE.append(ticket(4), KEPT, KEPT)).isSameAs(AT_FIVE);
	}

	@Test
	void ticketAfterAGapIsIgnored() {
		assertThat(AT_FIVE.append(ticket(7), KEPT, KEPT)).isSameAs(AT_FIVE);
	}

	@Test
	void stateAfterAnEarlierTicketIsKept() {
		assertThat(
				AT_FIVE.stateAfter(4).get().lastSetBy(Drafts.service("f", "drafting", "4", 0).changes().get(0).key()))
			.isEqualTo(4);
	}

	@Test
	void historyIsBounded() {
		TicketLog log = AT_FIVE.append(ticket(6), KEPT, KEPT);
		assertThat(List.of(log.tickets().size(), log.truths().size(), log.filings().size())).containsOnly(KEPT);
	}

	@Test
	void filingsOfTheSnapshotAreKept() {
		AcceptedFiling filing = new AcceptedFiling(Drafts.of("early").filing(), 2);
		TicketLog log = TicketLog.empty().adopt(new DesiredStateSnapshot(3, List.of(), 1, 0, List.of(filing)), KEPT);
		assertThat(log.acceptedNumber(filing.filing())).contains(2L);
	}

	private static Ticket ticket(long number) {
		return new Ticket(number, Instant.EPOCH, Drafts.service("f" + number, "drafting", "" + number, number - 1));
	}

}
