package sycamorehill.logic.ticket;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.OperatorCallIdentifier;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.policy.TicketPolicy;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.FilingOutcome;
import sycamorehill.model.ticket.Ticket;
import sycamorehill.model.ticket.TicketValue;
import sycamorehill.support.Drafts;
import sycamorehill.support.FakePlatform;
import sycamorehill.support.NodeGroup;
import sycamorehill.support.Policies;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests snapshots, the deletion of old tickets, and a platform restored from an older
 * backup.
 */
class CompactionTests {

	private final SplittableRandom random = new SplittableRandom(3);

	private final NodeGroup group = NodeGroup.create(this.random, Policies.shortHistory());

	@Test
	void oldTicketsAreDeletedAfterASnapshot() {
		startThree();
		fileTickets(1, 30);
		TicketPolicy policy = Policies.shortHistory().ticket();
		long first = tickets().get(0);
		assertThat(snapshot().number() - first).isBetween((long) policy.keptTickets() - 1, (long) policy.keptTickets());
	}

	@Test
	void newNodeReadsTheDesiredStateWithoutHistory() {
		startThree();
		fileTickets(1, 30);
		this.group.start("node-9", "fukuoka");
		this.group.runFor(Duration.ofSeconds(1));
		assertThat(this.group.node("node-9").desiredState()).isEqualTo(this.group.node("node-1").desiredState());
	}

	@Test
	void nodeThatMissedDeletedTicketsFilesUnderTheNextFreeNumber() {
		// While a node is partitioned, the tickets that it lacks are filed and deleted
		// after a snapshot. Its next number is free again on the platform. A create
		// under that number would succeed and be answered as accepted, but no node
		// would apply the ticket.
		startThree();
		partitionNodeThreeAndFileTickets();
		this.group.platformReachable("kumamoto", true);
		this.group.runFor(Duration.ofSeconds(30));
		OperatorCallIdentifier call = this.group.file("node-3", Drafts.service("late", "late", "1", 0));
		this.group.runFor(Duration.ofSeconds(3));
		assertThat(this.group.outcome(call)).isEqualTo(new FilingOutcome.Accepted(31));
	}

	@Test
	void lateCreateUnderADeletedNumberIsNotApplied() {
		// A delayed create of a crashed node arrives after another ticket had used its
		// number and was deleted. A node that was partitioned in the meantime expects
		// this number next and would apply a ticket that was never accepted.
		startThree();
		partitionNodeThreeAndFileTickets();
		TicketValue value = new TicketValue(new Ticket(1, this.group.now(), Drafts.service("ghost", "ghost", "1", 0)),
				"dead", 1);
		this.group.platform().look(new PlatformRequest.Create(TicketObjectNames.ticketKey(1), value));
		this.group.platformReachable("kumamoto", true);
		this.group.runFor(Duration.ofSeconds(30));
		assertThat(this.group.node("node-3").desiredState()).isEqualTo(this.group.node("node-1").desiredState());
	}

	@Test
	void nodesKeepTheirStateWhenThePlatformIsRestoredFromABackup() {
		// The platform is restored from a backup that lacks the last tickets. A node
		// that trusted it would revert to an older state.
		startThree();
		fileTickets(1, 5);
		PlatformValue[] backup = { value(1), value(2), value(3) };
		FakePlatform older = FakePlatform.create(this.random);
		for (PlatformValue ticket : backup) {
			long number = ((TicketValue) ticket).ticket().number();
			older.look(new PlatformRequest.Create(TicketObjectNames.ticketKey(number), ticket));
		}
		this.group.replacePlatform(older);
		this.group.runFor(Duration.ofSeconds(40));
		assertThat(this.group.nodes()).allMatch((node) -> node.desiredState().get().number() == 5);
	}

	@Test
	void ticketsLostByThePlatformKeepTheirNumbers() {
		// After a restore from a backup the numbers of the lost tickets are free again.
		// A filing that used one would create a second ticket with that number, which
		// only new nodes would apply.
		startThree();
		fileTickets(1, 5);
		this.group.replacePlatform(FakePlatform.create(this.random));
		this.group.runFor(Duration.ofSeconds(60));
		var call = this.group.file("node-2", Drafts.service("f6", "drafting", "6", 5));
		this.group.runFor(Duration.ofSeconds(3));
		assertThat(this.group.outcome(call)).isEqualTo(new FilingOutcome.Accepted(6));
	}

	@Test
	void filingIsRefusedWhileThePlatformIsOlder() {
		startThree();
		fileTickets(1, 5);
		this.group.replacePlatform(FakePlatform.create(this.random));
		var call = this.group.file("node-2", Drafts.service("f6", "drafting", "6", 5));
		this.group.runFor(Duration.ofMillis(300));
		assertThat(this.group.outcome(call)).isInstanceOf(FilingOutcome.Refused.class);
	}

	@Test
	void newNodeReadsTheDesiredStateFromPeersWhileThePlatformIsDown() {
		startThree();
		fileTickets(1, 5);
		this.group.platform().down(true);
		this.group.start("node-3", "fukuoka");
		this.group.runFor(Duration.ofSeconds(10));
		assertThat(this.group.node("node-3").desiredState()).isEqualTo(this.group.node("node-1").desiredState());
	}

	@Test
	void nodeWithoutPlatformAndPeersHasNoDesiredState() {
		this.group.platform().down(true);
		this.group.start("node-1", "fukuoka");
		this.group.runFor(Duration.ofSeconds(30));
		assertThat(this.group.node("node-1").desiredState()).isEmpty();
	}

	private void startThree() {
		this.group.start("node-1", "fukuoka");
		this.group.start("node-2", "fukuoka");
		this.group.start("node-3", "kumamoto");
		this.group.runFor(Duration.ofSeconds(5));
	}

	private void partitionNodeThreeAndFileTickets() {
		NodeName three = NodeName.of("node-3");
		this.group.cut((from, to) -> from.incarnation().node().equals(three) || to.incarnation().node().equals(three));
		this.group.platformReachable("kumamoto", false);
		fileTickets(1, 30);
	}

	private void fileTickets(int first, int count) {
		for (int number = first; number < first + count; number++) {
			this.group.file("node-1", Drafts.service("f" + number, "drafting", "" + number, number - 1L));
			this.group.runFor(Duration.ofSeconds(1));
		}
		this.group.runFor(Duration.ofSeconds(5));
	}

	private List<Long> tickets() {
		PlatformAnswer.Listed listed = (PlatformAnswer.Listed) this.group.platform()
			.look(new PlatformRequest.ListObjects(ObjectKind.TICKET, "", 1000));
		return listed.objects().stream().map((object) -> Long.valueOf(object.key().name())).toList();
	}

	private DesiredStateSnapshot snapshot() {
		return (DesiredStateSnapshot) this.group.platform().object(TicketObjectNames.SNAPSHOT).value();
	}

	private PlatformValue value(long number) {
		return this.group.platform().object(TicketObjectNames.ticketKey(number)).value();
	}

}
