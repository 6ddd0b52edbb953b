package sycamorehill.logic.layout;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests groups during losses, partitions, late commands and changes of the controller.
 * The fleet checks at each step that no serving group is incomplete and no engine is in
 * two groups.
 */
class GroupControllerTests {

	private static final Duration FORMING_TIME = Duration.ofSeconds(150);

	/**
	 * Number of groups that 40 engines form before any load is known: 32 engines serve,
	 * in 4 groups of four and 8 pairs.
	 */
	private static final int GROUPS = 12;

	private static FakeFleet formedFleet(long seed) {
		FakeFleet fleet = new FakeFleet(seed, 4, 10);
		fleet.addController("one");
		fleet.run(FORMING_TIME);
		return fleet;
	}

	private static FakeEngine servingHead(FakeFleet fleet) {
		return fleet.engines().stream().filter(FakeEngine::isOpen).findFirst().orElseThrow();
	}

	// 32 of 40 engines serve, and the others are spares with weights. Where spares of a
	// domain make up a complete group, they serve as well: if the group loses a member,
	// the others become spares again.
	@Test
	void formsGroupsOfBothModelsAndKeepsSpares() {
		FakeFleet fleet = formedFleet(1);
		assertThat(fleet.countServing()).isBetween((long) GROUPS, GROUPS + 2L);
		List<FakeEngine> spares = fleet.engines().stream().filter((engine) -> engine.membership().isEmpty()).toList();
		assertThat(spares).as(fleet.describe()).hasSizeBetween(4, 8);
		assertThat(spares).allMatch((spare) -> spare.entry().staged().size() == 1);
		spares.forEach((spare) -> assertThat(spares)
			.filteredOn((other) -> sameDomainAndSmallModel(spare.entry(), other.entry()))
			.hasSizeLessThan(2));
	}

	private static boolean sameDomainAndSmallModel(TargetEntry one, TargetEntry other) {
		boolean small = one.staged().contains(ServingSamples.SMALL.name());
		return small && one.domain().equals(other.domain()) && one.staged().equals(other.staged());
	}

	// A member is restarted and has lost its state. The group stalls. It must be
	// disbanded and replaced by a group that uses the weights on the hosts.
	@Test
	void replacesAGroupThatLostAMember() {
		FakeFleet fleet = formedFleet(2);
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).restart();
		fleet.run(Duration.ofSeconds(4));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// A whole domain is partitioned from all nodes and from the store, and refuses
	// connections, while its heads continue to serve. Its entries expire. When the
	// partition heals, members and heads reappear in any order. No member may be taken
	// from a head that still serves.
	@Test
	void takesNoMemberFromAHeadThatReturnsAfterAPartition() {
		FakeFleet fleet = formedFleet(3);
		List<FakeEngine> partitioned = fleet.engines()
			.stream()
			.filter((each) -> each.name().value().startsWith("e1-"))
			.toList();
		partitioned.forEach((engine) -> engine.setPartition(true, "domain"));
		fleet.run(Duration.ofSeconds(9));
		FakeEngine head = partitioned.stream().filter(FakeEngine::isOpen).findFirst().orElseThrow();
		partitioned.stream().filter((engine) -> engine != head).forEach((engine) -> engine.setPartition(false, ""));
		fleet.run(Duration.ofMillis(600));
		head.setPartition(false, "");
		fleet.run(Duration.ofSeconds(20));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// A head is partitioned from the nodes and the store for 10 s, but not from its
	// members, so it continues to serve. Its members stay visible all the time and must
	// not be taken.
	@Test
	void takesNoMemberFromAHeadThatOnlyItsMembersReach() {
		FakeFleet fleet = formedFleet(5);
		FakeEngine head = servingHead(fleet);
		head.setPartition(true, "");
		fleet.run(Duration.ofSeconds(10));
		head.setPartition(false, "");
		fleet.run(Duration.ofSeconds(20));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// Both heads of the groups of four crash for good at the same moment, and no spare is
	// left. Requests for that model fail until the six survivors form a new group. An
	// unreachable head might still serve, so one survivor of each group leaves first, and
	// the others wait until the head would have broken: 5 s, however long a partition may
	// last.
	@Test
	void survivorsOfCrashedHeadsServeAgainSoonAfterTheStallTime() {
		FakeFleet fleet = new FakeFleet(6, 1, 12);
		fleet.addController("one").startTraffic();
		fleet.run(FORMING_TIME);
		List<FakeEngine> heads = fleet.engines()
			.stream()
			.filter((engine) -> engine.isOpen() && engine.members().size() == 4)
			.toList();
		assertThat(heads).hasSize(2);
		heads.forEach(FakeEngine::crash);
		fleet.run(Duration.ofSeconds(13));
		assertThat(fleet.engines()).as(fleet.describe())
			.anyMatch((engine) -> engine.isOpen() && engine.members().size() == 4);
	}

	// A member of a group of four cannot be reached for a second, and its group is
	// disbanded. The engine was running all the time and its entry stayed in the store,
	// so no change of the entry shows that it is reachable. If it counted as lost until
	// the next term, the group of four would stay missing although all its engines are
	// there.
	@Test
	void anEngineThatWasBrieflyUnreachableIsUsedAgain() {
		FakeFleet fleet = new FakeFleet(8, 1, 12);
		FakeFleet.Controller controller = fleet.addController("one");
		controller.startTraffic();
		fleet.run(FORMING_TIME);
		long before = fleet.countServing();
		FakeEngine head = fleet.engines()
			.stream()
			.filter((engine) -> engine.isOpen() && engine.members().size() == 4)
			.findFirst()
			.orElseThrow();
		FakeEngine member = fleet.engine(head.members().get(2).value());
		member.setPartition(true, "");
		controller.checkMembers(head.name().value());
		fleet.run(Duration.ofSeconds(1));
		member.setPartition(false, "");
		fleet.run(Duration.ofSeconds(10));
		assertThat(fleet.countServing()).as(fleet.describe()).isEqualTo(before);
	}

	// A member is restarted while a spare holds the weights. The head leaves the old
	// group and joins the next one at once. The command to leave takes effect immediately
	// and is counted, but answered as if it had been in effect already. A command to join
	// with the old count is refused, and callers wait 0.3 s longer.
	@Test
	void aHeadThatLeftJoinsTheNextGroupWithoutAConflict() {
		FakeFleet fleet = formedFleet(11);
		fleet.controller(0).startTraffic();
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).restart();
		fleet.run(Duration.ofSeconds(4));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
		assertThat(fleet.conflicts()).isZero();
	}

	// No node reaches the store for 10 s, and a member crashes. All nodes know that its
	// group stalls, but nobody can renew the lease, and no entry lists a group that is
	// being formed. Callers must not wait until the store is back.
	@Test
	void aGroupIsReplacedWhileNoNodeReachesTheStore() {
		FakeFleet fleet = formedFleet(12);
		FakeFleet.Controller controller = fleet.controller(0);
		fleet.addController("two");
		fleet.run(Duration.ofSeconds(2));
		controller.startTraffic();
		controller.partitionFromStore(true);
		fleet.controller(1).partitionFromStore(true);
		fleet.run(Duration.ofSeconds(4));
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).crash();
		controller.checkMembers(head.name().value());
		fleet.run(Duration.ofSeconds(5));
		assertThat(fleet.countServing()).as(fleet.describe()).isGreaterThanOrEqualTo(GROUPS);
	}

	// A data centre is partitioned for 6 s: its engines cannot be reached and their
	// entries expire, while its groups continue to serve callers on their side. When the
	// partition heals, the entries reappear one after the other. A group that is
	// disbanded when its first member reappears is lost without need, and half of a data
	// centre loads its weights again.
	@Test
	void completeGroupsKeepServingAfterAPartitionHeals() {
		for (int seed = 0; seed < 20; seed++) {
			FakeFleet fleet = formedFleet(seed);
			FakeFleet.Controller controller = fleet.controller(0);
			controller.startTraffic();
			List<FakeEngine> partitioned = fleet.engines()
				.stream()
				.filter((each) -> each.name().value().startsWith("e1-"))
				.toList();
			List<FakeEngine> heads = partitioned.stream().filter(FakeEngine::isOpen).toList();
			List<Optional<Membership>> memberships = heads.stream().map(FakeEngine::membership).toList();
			partitioned.forEach((engine) -> engine.setPartition(true, "domain"));
			heads.forEach((head) -> controller.checkMembers(head.name().value()));
			fleet.run(Duration.ofSeconds(6));
			Random order = new Random(seed);
			partitioned.forEach((engine) -> {
				engine.setPartition(false, "domain");
				fleet.run(Duration.ofMillis(100L * order.nextInt(3)));
			});
			partitioned.forEach((engine) -> engine.setPartition(false, ""));
			fleet.run(Duration.ofSeconds(4));
			assertThat(heads.stream().map(FakeEngine::membership)).as("seed " + seed)
				.containsExactlyElementsOf(memberships);
		}
	}

	// One member of each group of four is partitioned from the store and from the nodes
	// for 5 s, but not from its head, which has requests and answers them. No group may
	// be disbanded.
	@Test
	void aServingGroupIsKeptWhenAMembersEntryExpires() {
		FakeFleet fleet = formedFleet(9);
		fleet.controller(0).startTraffic();
		List<FakeEngine> heads = fleet.engines()
			.stream()
			.filter((engine) -> engine.isOpen() && engine.members().size() == 4)
			.toList();
		List<FakeEngine> members = heads.stream().map((head) -> fleet.engine(head.members().get(2).value())).toList();
		members.forEach((member) -> member.partitionFromAllButHead(true));
		fleet.run(Duration.ofSeconds(5));
		assertThat(heads).allMatch(FakeEngine::isOpen);
		members.forEach((member) -> member.partitionFromAllButHead(false));
		fleet.run(Duration.ofSeconds(4));
		assertThat(heads).allMatch(FakeEngine::isOpen);
	}

	// A member crashes while its group has no requests, so no stream stalls and nobody
	// notices. When its entry has expired, the group must be disbanded and replaced
	// before the next request arrives.
	@Test
	void aGroupWithoutRequestsIsReplacedWhenAMembersEntryExpires() {
		FakeFleet fleet = formedFleet(10);
		fleet.stopRequests();
		fleet.controller(0).startTraffic();
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).crash();
		fleet.run(Duration.ofSeconds(10));
		assertThat(fleet.countServing()).as(fleet.describe()).isGreaterThanOrEqualTo(GROUPS);
	}

	// The head of each pair is partitioned from the nodes and continues to serve. Its
	// member receives the command to leave, and then the controller is paused. The next
	// controller
	// sees an engine without a group, and must not use it before the head that it left
	// has broken.
	@Test
	void aNewControllerBlocksMembersDetachedFromALiveHead() {
		FakeFleet fleet = new FakeFleet(7, 4, 10);
		FakeFleet.Controller controller = fleet.addController("one");
		fleet.run(FORMING_TIME);
		fleet.addController("two");
		fleet.run(Duration.ofSeconds(2));
		List<FakeEngine> heads = fleet.engines()
			.stream()
			.filter((engine) -> engine.isOpen() && engine.members().size() == 2)
			.toList();
		heads.forEach((head) -> head.setPartition(true, ""));
		heads.forEach((head) -> controller.checkMembers(head.name().value()));
		fleet.run(Duration.ofMillis(300));
		assertThat(heads).anyMatch((head) -> fleet.engine(head.members().get(1).value()).membership().isEmpty());
		controller.pause(true);
		fleet.run(Duration.ofSeconds(12));
		heads.forEach((head) -> head.setPartition(false, ""));
		fleet.run(Duration.ofSeconds(20));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// The controller is paused until after its lease has expired, and another one takes
	// over. The first one resumes in the belief that it still holds the lease. Engines
	// receive commands of both.
	@Test
	void toleratesAResumedControllerWithAnExpiredLease() {
		FakeFleet fleet = new FakeFleet(4, 4, 10);
		FakeFleet.Controller controller = fleet.addController("one");
		fleet.run(FORMING_TIME);
		fleet.addController("two");
		fleet.run(Duration.ofSeconds(2));
		controller.pause(true);
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).restart();
		fleet.run(Duration.ofSeconds(6));
		controller.pause(false);
		fleet.run(Duration.ofSeconds(10));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// Three in ten commands get no answer and are carried out 2 to 12 s later, while
	// engines are restarted, partitioned and leave, and two nodes lose the store in turn.
	@Test
	void keepsGroupInvariantsThroughRandomFailures() {
		for (int seed = 0; seed < 30; seed++) {
			FakeFleet fleet = new FakeFleet(seed, 4, 10);
			List<FakeFleet.Controller> nodes = List.of(fleet.addController("one"), fleet.addController("two"));
			fleet.run(FORMING_TIME);
			nodes.forEach(FakeFleet.Controller::startTraffic);
			fleet.delayCommands(0.3);
			causeRandomFailures(fleet, nodes, new Random(seed));
			fleet.delayCommands(0);
			fleet.engines().forEach((engine) -> engine.setPartition(false, ""));
			nodes.forEach((node) -> node.partitionFromStore(false));
			fleet.run(Duration.ofSeconds(150));
			assertThat(fleet.countServing()).as("seed " + seed).isGreaterThanOrEqualTo(4);
		}
	}

	private static void causeRandomFailures(FakeFleet fleet, List<FakeFleet.Controller> nodes, Random random) {
		for (int round = 0; round < 25; round++) {
			FakeEngine engine = fleet.engines().get(random.nextInt(fleet.engines().size()));
			switch (random.nextInt(6)) {
				case 0 -> engine.restart();
				case 1 -> engine.setPartition(true, engine.name().value());
				case 2 -> fleet.engines().forEach((each) -> each.setPartition(false, ""));
				case 3 -> engine.leave();
				case 4 -> nodes.get(random.nextInt(nodes.size())).partitionFromStore(random.nextBoolean());
				default -> nodes.get(random.nextInt(nodes.size())).checkMembers(engine.name().value());
			}
			fleet.run(Duration.ofMillis(500 + random.nextInt(4000)));
		}
	}

}
