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
 * Groups through losses, partitions, late orders and changes of the controller. The fleet
 * checks at each step that no serving group is incomplete and no member is in two.
 */
class GroupControllerTests {

	private static final Duration FORMING_TIME = Duration.ofSeconds(150);

	/**
	 * Groups formed of 40 engines before any load is known: 32 of them serve, 4 groups of
	 * four and 8 pairs.
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
	// domain make up a whole group they serve as well: if it loses a member, the other is
	// a spare as before.
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

	// A member dies and starts anew, knowing nothing. The group stands still; it is taken
	// apart and a new one serves, with the weights that lie on the hosts.
	@Test
	void replacesAGroupThatLostAMember() {
		FakeFleet fleet = formedFleet(2);
		FakeEngine head = servingHead(fleet);
		fleet.engine(head.members().get(1).value()).restart();
		fleet.run(Duration.ofSeconds(4));
		assertThat(fleet.countServing()).isGreaterThanOrEqualTo(GROUPS);
	}

	// A whole domain is cut off from all nodes and from the store, and refuses
	// connections; its heads go on serving there. Its entries lapse. When the cut
	// heals, members and heads come back in any order: no member may be taken from a
	// head that still serves.
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

	// A head is cut off from the nodes and the store for 10 s, but not from its
	// members: it serves on. Its members stay visible all the time, and must not be
	// taken.
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

	// Both heads of the groups of four die for good at the same moment, and no spare is
	// left. Callers of that model get nothing until the six survivors make a new group;
	// a head that is only cut off might serve on, so one survivor of each leaves first,
	// and the rest wait until the head would have broken: 5 s, not as long as a partition
	// may last.
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

	// A member of a group of four can't be reached for a second, and its group is taken
	// apart. The engine never went away: its entry stays in the store all the while. It
	// was taken for lost as long as the controller held office, and the group of four
	// served no more though all its engines were there.
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

	// A member dies while a spare holds the weights. The head leaves the old group and
	// joins the next one at once: an order to leave takes effect immediately, is counted,
	// and is answered as if it had held already. The order to join named the count before
	// it, was refused, and callers waited 0.3 s longer.
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

	// The store is away for all nodes for 10 s. A member dies; its group stands still
	// and all nodes know it, but nobody can renew the lease, and no entry shows a
	// group that is formed. Callers waited until the store was back.
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

	// A data centre is cut off for 6 s: its engines can't be reached and their
	// entries lapse, while its groups go on serving callers on their side. When the
	// cut heals, the entries come back one after the other. Its groups must go on:
	// they were taken apart at the first sight of a single member, and half of a data
	// centre loaded anew.
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

	// One member of each group of four is cut off from the store and from the nodes for 5
	// s, but not from its head, which has requests and answers them. No group is taken
	// apart.
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

	// A member dies while its group has no requests, so that no stream stands still and
	// nobody notices. When its entry has lapsed, the group is taken apart and replaced
	// before the next request comes.
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

	// The head of each pair is cut off from the nodes and serves on. Its member is told
	// to leave, and then the controller is gone: the next one sees an engine without a
	// group. It must not use it before the head that it left has broken.
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

	// The controller is paused past its lease, another takes over, and the first wakes up
	// still believing that it holds the lease. Orders of both meet at the engines.
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

	// Three orders in ten get no answer and are carried out 2 to 12 s later, while
	// engines die, start anew, are cut off and leave, and two nodes lose the store by
	// turns.
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
