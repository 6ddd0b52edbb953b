package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.support.Drafts;
import sycamorehill.support.NodeGroup;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the filing of tickets through several nodes.
 */
class FilingTests {

	private final NodeGroup group = NodeGroup.create(new SplittableRandom(7));

	@Test
	void acceptedTicketIsAppliedByEveryNode() {
		startSix();
		OperatorCallIdentifier call = this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(2));
		assertThat(this.group.outcome(call)).isEqualTo(new FilingOutcome.Accepted(1));
		assertThat(this.group.nodes()).allMatch((node) -> node.desiredState().get().number() == 1);
	}

	@Test
	void oneOfTwoConcurrentFilingsIsRefusedWithTheCurrentState() {
		// Two operators change the same service through two nodes at the same time.
		// Without the conditional create both filings would be accepted and one change
		// would be lost.
		startSix();
		OperatorCallIdentifier one = this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		OperatorCallIdentifier other = this.group.file("node-4", Drafts.service("f2", "drafting", "2", 0));
		this.group.runFor(Duration.ofSeconds(2));
		FilingOutcome lost = (this.group.outcome(one) instanceof FilingOutcome.Accepted) ? this.group.outcome(other)
				: this.group.outcome(one);
		assertThat(lost).isInstanceOfSatisfying(FilingOutcome.Refused.class,
				(refused) -> assertThat(refused.presentItems()).hasSize(1));
	}

	@Test
	void filingAgainThroughAnotherNodeGivesTheSameNumber() {
		startSix();
		this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(2));
		OperatorCallIdentifier again = this.group.file("node-6", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(2));
		assertThat(this.group.outcome(again)).isEqualTo(new FilingOutcome.Accepted(1));
	}

	@Test
	void filingIdentifierCannotBeUsedForOtherChanges() {
		startSix();
		this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(2));
		OperatorCallIdentifier again = this.group.file("node-6", Drafts.service("f1", "drafting", "2", 1));
		this.group.runFor(Duration.ofSeconds(2));
		assertThat(this.group.outcome(again)).isInstanceOf(FilingOutcome.Refused.class);
	}

	@Test
	void filingWithoutAnIdentifierIsRefused() {
		startSix();
		OperatorCallIdentifier call = this.group.file("node-1", new TicketDraft(null, "operator", "", List.of()));
		this.group.runFor(Duration.ofSeconds(2));
		assertThat(this.group.outcome(call)).isInstanceOf(FilingOutcome.Refused.class);
	}

	@Test
	void filingInAnOutageIsRefusedAsNotWritten() {
		startSix();
		this.group.platform().down(true);
		OperatorCallIdentifier call = this.group.file("node-1", Drafts.service("f1", "drafting", "1", 0));
		this.group.runFor(Duration.ofSeconds(16));
		assertThat(this.group.outcome(call)).isInstanceOf(FilingOutcome.Refused.class);
	}

	private void startSix() {
		String[] dataCentres = { "fukuoka", "kumamoto", "kagoshima" };
		for (int index = 0; index < 6; index++) {
			this.group.start("node-" + (index + 1), dataCentres[index / 2]);
		}
		this.group.runFor(Duration.ofSeconds(4));
	}

}
