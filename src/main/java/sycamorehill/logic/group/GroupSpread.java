package sycamorehill.logic.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import sycamorehill.logic.observation.Rendezvous;
import sycamorehill.logic.observation.SenderClocks;
import sycamorehill.logic.observation.Standing;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.GroupRecord;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.peer.GroupFacts;
import sycamorehill.model.peer.GroupSetSights;
import sycamorehill.model.peer.GroupsSent;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Spreads which groups serve: from the stewards of a data centre over a tree to its other
 * nodes, and to one steward of each other data centre, which spreads it there.
 */
final class GroupSpread {

	private static final int FACTS_AFTER_CHANGE = 3;

	private static final int FACTS_EACH = 10;

	private static final int ABROAD_EACH = 2;

	private GroupSpread() {
	}

	static void tick(GroupTurn turn, boolean steward) {
		Optional<Allocation> allocation = turn.state().effective();
		if (!steward || allocation.isEmpty()) {
			return;
		}
		List<GroupRecord> serving = serving(turn, allocation.get());
		List<GroupIdentity> identities = serving.stream().map(GroupRecord::identity).toList();
		SpreadState spread = turn.state().spread();
		// A node that starts while the platform is down learns of groups only from
		// here: without its arrival in the hash it would refuse every request until
		// facts go round by themselves.
		int hash = Objects.hash(identities, turn.state().allocation().version(), incarnations(turn));
		boolean changed = hash != spread.lastSent();
		if (!changed && turn.now().isBefore(spread.nextAt())) {
			return;
		}
		ObservationPolicy policy = turn.view().policy().observation();
		// The stewards take turns: together they spread once in each interval.
		Duration interval = policy.digestInterval().multipliedBy(policy.stewards());
		int factsLeft = changed ? FACTS_AFTER_CHANGE : Math.max(0, spread.factsLeft() - 1);
		boolean facts = changed || spread.factsLeft() > 0 || spread.spreads() % FACTS_EACH == 0;
		turn.change(turn.state().withSpread(spread.sent(turn.now().plus(interval), hash, factsLeft)));
		GroupsSent message = message(turn, serving, facts);
		passOn(turn, message);
		// Failure: the one message that told another data centre of a change is lost, and
		// that one refuses its callers until addresses and members go round by
		// themselves.
		// So a change goes there more than once. Messages that this node only passes on
		// are
		// not counted: with an even number of them between two own ones the turn of the
		// other data centres would never come.
		if (facts || spread.spreads() % ABROAD_EACH == 0) {
			sendAbroad(turn, message);
		}
	}

	private static Set<NodeIncarnation> incarnations(GroupTurn turn) {
		return turn.view()
			.liveNodes()
			.nodes()
			.values()
			.stream()
			.map((node) -> node.identity().incarnation())
			.collect(Collectors.toSet());
	}

	private static List<GroupRecord> serving(GroupTurn turn, Allocation allocation) {
		Duration freshness = turn.view().policy().observation().freshness();
		return allocation.groups()
			.values()
			.stream()
			.filter((record) -> ServingGroups.serves(record, turn.view().fleet(), turn.now(), freshness))
			.filter((record) -> turn.view().fleet().entries().containsKey(record.head()))
			.toList();
	}

	private static GroupsSent message(GroupTurn turn, List<GroupRecord> serving, boolean withFacts) {
		Map<GroupSetName, Columns> sets = new TreeMap<>();
		List<GroupFacts> facts = new ArrayList<>();
		Fleet fleet = turn.view().fleet();
		for (GroupRecord record : serving) {
			sets.computeIfAbsent(record.identity().name().set(), (set) -> new Columns()).add(record, fleet, turn.now());
			if (withFacts) {
				VmEntry head = fleet.entries().get(record.head());
				facts.add(new GroupFacts(record.identity(), record.service(), head.address(), record.members(),
						record.modelVersion()));
			}
		}
		List<GroupSetSights> columns = sets.entrySet()
			.stream()
			.map((entry) -> entry.getValue().sights(entry.getKey()))
			.toList();
		return new GroupsSent(turn.view().self().dataCentre(), turn.view().self().incarnation(),
				turn.state().spread().round(), turn.now().toEpochMilli(), turn.state().allocation().version(),
				Standing.of(fleet.entries().values()), columns, facts);
	}

	private static void sendAbroad(GroupTurn turn, GroupsSent message) {
		DataCentreName own = turn.view().self().dataCentre();
		TreeSet<DataCentreName> others = new TreeSet<>((one, other) -> one.value().compareTo(other.value()));
		for (LiveNode node : turn.view().liveNodes().nodes().values()) {
			others.add(node.identity().dataCentre());
		}
		others.remove(own);
		for (DataCentreName other : others) {
			List<NodeIdentity> stewards = Rendezvous.stewards(turn.view(), other);
			if (!stewards.isEmpty()) {
				int choice = (int) ((message.round() / ABROAD_EACH) % stewards.size());
				turn.emit(new PeerEffect.Send(stewards.get(choice), message));
			}
		}
	}

	static void received(GroupTurn turn, NodeIdentity from, GroupsSent message) {
		SpreadState spread = turn.state().spread();
		SenderClocks clocks = spread.clocks().received(from.incarnation(), turn.now(), message.sentAt());
		long delay = clocks.delay(from.incarnation(), turn.now(), message.sentAt());
		Instant sentAt = turn.now().minusMillis(delay);
		SpreadGroups known = spread.groups().getOrDefault(message.dataCentre(), SpreadGroups.none());
		turn.change(turn.state()
			.withSpread(spread.withClocks(clocks).withGroups(message.dataCentre(), known.received(message, sentAt))));
		boolean fromAbroad = !from.dataCentre().equals(turn.view().self().dataCentre());
		if (fromAbroad) {
			enter(turn, message, delay);
			return;
		}
		NodeIncarnation root = message.root();
		if (message.round() > spread.passedOn().getOrDefault(root, -1L)) {
			turn.change(turn.state().withSpread(turn.state().spread().withPassedOn(root, message.round())));
			passOn(turn, forwarded(turn, message, root, message.round(), delay));
		}
	}

	// A message of another data centre spreads on from this node.
	private static void enter(GroupTurn turn, GroupsSent message, long delay) {
		SpreadState spread = turn.state().spread().nextRound();
		turn.change(turn.state().withSpread(spread));
		passOn(turn, forwarded(turn, message, turn.view().self().incarnation(), spread.round(), delay));
	}

	private static GroupsSent forwarded(GroupTurn turn, GroupsSent message, NodeIncarnation root, long round,
			long delay) {
		List<GroupSetSights> older = message.sets().stream().map((set) -> older(set, delay)).toList();
		return new GroupsSent(message.dataCentre(), root, round, turn.now().toEpochMilli(), message.allocationVersion(),
				message.listHash(), older, message.facts());
	}

	private static GroupSetSights older(GroupSetSights set, long delay) {
		List<Integer> ages = set.ages().stream().map((age) -> (int) (age + delay)).toList();
		return new GroupSetSights(set.set(), set.ordinals(), set.generations(), ages, set.running(), set.queued(),
				set.tokensPerSecond(), set.freeCacheTokens());
	}

	private static void passOn(GroupTurn turn, GroupsSent message) {
		int fanOut = turn.view().policy().observation().relayFanOut();
		List<NodeIdentity> order = new ArrayList<>();
		for (LiveNode node : Rendezvous.order(turn.view().liveNodes().dutiful(turn.view().self().dataCentre()),
				message.root().toString())) {
			if (!node.identity().incarnation().equals(message.root())) {
				order.add(node.identity());
			}
		}
		int place = order.indexOf(turn.view().self());
		for (int child = (place + 1) * fanOut; child < Math.min((place + 2) * fanOut, order.size()); child++) {
			turn.emit(new PeerEffect.Send(order.get(child), message));
		}
	}

	/**
	 * Collects the columns of one set.
	 */
	private static final class Columns {

		private final List<Integer> ordinals = new ArrayList<>();

		private final List<Long> generations = new ArrayList<>();

		private final List<Integer> ages = new ArrayList<>();

		private final List<Integer> running = new ArrayList<>();

		private final List<Integer> queued = new ArrayList<>();

		private final List<Integer> tokensPerSecond = new ArrayList<>();

		private final List<Long> freeCacheTokens = new ArrayList<>();

		void add(GroupRecord record, Fleet fleet, Instant now) {
			Instant oldest = record.members()
				.stream()
				.map((vm) -> fleet.sights().get(vm).seenAt())
				.min(Instant::compareTo)
				.orElse(now);
			this.ordinals.add(record.identity().name().ordinal());
			this.generations.add(record.identity().generation());
			this.ages.add((int) Duration.between(oldest, now).toMillis());
			fleet.sight(record.head()).ifPresent((sight) -> {
				this.running.add(sight.report().running());
				this.queued.add(sight.report().queued());
				this.tokensPerSecond.add((int) Math.round(sight.report().tokensPerSecond()));
				this.freeCacheTokens.add(sight.report().freeCacheTokens());
			});
		}

		GroupSetSights sights(GroupSetName set) {
			return new GroupSetSights(set, this.ordinals, this.generations, this.ages, this.running, this.queued,
					this.tokensPerSecond, this.freeCacheTokens);
		}

	}

}
