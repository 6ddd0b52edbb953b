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
final class GroupPublisher {

	private static final int FACTS_MESSAGES_AFTER_CHANGE = 3;

	private static final int MESSAGES_PER_FACTS = 10;

	private static final int MESSAGES_PER_REMOTE_SEND = 2;

	private GroupPublisher() {
	}

	static void tick(GroupStep step, boolean steward) {
		Optional<Allocation> allocation = step.state().effectiveAllocation();
		if (!steward || allocation.isEmpty()) {
			return;
		}
		List<GroupRecord> serving = serving(step, allocation.get());
		List<GroupIdentity> identities = serving.stream().map(GroupRecord::identity).toList();
		GroupPublicationState publication = step.state().spread();
		// A node that starts while the platform is down learns of groups only from
		// here: without its arrival in the hash it would refuse every request until
		// facts go round by themselves.
		int hash = Objects.hash(identities, step.state().allocation().version(), incarnations(step));
		boolean changed = hash != publication.lastSent();
		if (!changed && step.now().isBefore(publication.nextAt())) {
			return;
		}
		ObservationPolicy policy = step.view().policy().observation();
		// The stewards take turns: together they spread once in each interval.
		Duration interval = policy.digestInterval().multipliedBy(policy.stewards());
		int factsLeft = changed ? FACTS_MESSAGES_AFTER_CHANGE : Math.max(0, publication.factsLeft() - 1);
		boolean facts = changed || publication.factsLeft() > 0 || publication.spreads() % MESSAGES_PER_FACTS == 0;
		step.update(step.state().withPublication(publication.withSent(step.now().plus(interval), hash, factsLeft)));
		GroupsSent message = message(step, serving, facts);
		forward(step, message);
		// Failure: the one message that told another data centre of a change is lost, and
		// that one refuses its callers until addresses and members go round by
		// themselves.
		// So a change goes there more than once. Messages that this node only passes on
		// are
		// not counted: with an even number of them between two own ones the turn of the
		// other data centres would never come.
		if (facts || publication.spreads() % MESSAGES_PER_REMOTE_SEND == 0) {
			sendToRemoteDataCentres(step, message);
		}
	}

	private static Set<NodeIncarnation> incarnations(GroupStep step) {
		return step.view()
			.liveNodes()
			.nodes()
			.values()
			.stream()
			.map((node) -> node.identity().incarnation())
			.collect(Collectors.toSet());
	}

	private static List<GroupRecord> serving(GroupStep step, Allocation allocation) {
		Duration freshness = step.view().policy().observation().freshness();
		return allocation.groups()
			.values()
			.stream()
			.filter((record) -> ServingGroups.isServing(record, step.view().fleet(), step.now(), freshness))
			.filter((record) -> step.view().fleet().entries().containsKey(record.head()))
			.toList();
	}

	private static GroupsSent message(GroupStep step, List<GroupRecord> serving, boolean withFacts) {
		Map<GroupSetName, GroupSetColumns> sets = new TreeMap<>();
		List<GroupFacts> facts = new ArrayList<>();
		Fleet fleet = step.view().fleet();
		for (GroupRecord record : serving) {
			sets.computeIfAbsent(record.identity().name().set(), (set) -> new GroupSetColumns())
				.add(record, fleet, step.now());
			if (withFacts) {
				VmEntry head = fleet.entries().get(record.head());
				facts.add(new GroupFacts(record.identity(), record.service(), head.address(), record.members(),
						record.modelVersion()));
			}
		}
		List<GroupSetSights> columns = sets.entrySet()
			.stream()
			.map((entry) -> entry.getValue().toObservations(entry.getKey()))
			.toList();
		return new GroupsSent(step.view().self().dataCentre(), step.view().self().incarnation(),
				step.state().spread().round(), step.now().toEpochMilli(), step.state().allocation().version(),
				Standing.of(fleet.entries().values()), columns, facts);
	}

	private static void sendToRemoteDataCentres(GroupStep step, GroupsSent message) {
		DataCentreName own = step.view().self().dataCentre();
		TreeSet<DataCentreName> others = new TreeSet<>((one, other) -> one.value().compareTo(other.value()));
		for (LiveNode node : step.view().liveNodes().nodes().values()) {
			others.add(node.identity().dataCentre());
		}
		others.remove(own);
		for (DataCentreName other : others) {
			List<NodeIdentity> stewards = Rendezvous.stewards(step.view(), other);
			if (!stewards.isEmpty()) {
				int choice = (int) ((message.round() / MESSAGES_PER_REMOTE_SEND) % stewards.size());
				step.emit(new PeerEffect.Send(stewards.get(choice), message));
			}
		}
	}

	static void handleMessage(GroupStep step, NodeIdentity from, GroupsSent message) {
		GroupPublicationState publication = step.state().spread();
		SenderClocks clocks = publication.clocks().received(from.incarnation(), step.now(), message.sentAt());
		long delay = clocks.delay(from.incarnation(), step.now(), message.sentAt());
		Instant sentAt = step.now().minusMillis(delay);
		PublishedGroups known = publication.groups().getOrDefault(message.dataCentre(), PublishedGroups.none());
		step.update(step.state()
			.withPublication(publication.withClocks(clocks)
				.withGroups(message.dataCentre(), known.withMessage(message, sentAt))));
		boolean fromRemoteDataCentre = !from.dataCentre().equals(step.view().self().dataCentre());
		if (fromRemoteDataCentre) {
			startRelay(step, message, delay);
			return;
		}
		NodeIncarnation root = message.root();
		if (message.round() > publication.passedOn().getOrDefault(root, -1L)) {
			step.update(step.state().withPublication(step.state().spread().withForwarded(root, message.round())));
			forward(step, relayed(step, message, root, message.round(), delay));
		}
	}

	// A message of another data centre spreads on from this node.
	private static void startRelay(GroupStep step, GroupsSent message, long delay) {
		GroupPublicationState publication = step.state().spread().withNextRound();
		step.update(step.state().withPublication(publication));
		forward(step, relayed(step, message, step.view().self().incarnation(), publication.round(), delay));
	}

	private static GroupsSent relayed(GroupStep step, GroupsSent message, NodeIncarnation root, long round,
			long delay) {
		List<GroupSetSights> relayedSets = message.sets().stream().map((set) -> aged(set, delay)).toList();
		return new GroupsSent(message.dataCentre(), root, round, step.now().toEpochMilli(), message.allocationVersion(),
				message.listHash(), relayedSets, message.facts());
	}

	private static GroupSetSights aged(GroupSetSights set, long delay) {
		List<Integer> ages = set.ages().stream().map((age) -> (int) (age + delay)).toList();
		return new GroupSetSights(set.set(), set.ordinals(), set.generations(), ages, set.running(), set.queued(),
				set.tokensPerSecond(), set.freeCacheTokens());
	}

	private static void forward(GroupStep step, GroupsSent message) {
		int fanOut = step.view().policy().observation().relayFanOut();
		List<NodeIdentity> order = new ArrayList<>();
		for (LiveNode node : Rendezvous.order(step.view().liveNodes().dutiful(step.view().self().dataCentre()),
				message.root().toString())) {
			if (!node.identity().incarnation().equals(message.root())) {
				order.add(node.identity());
			}
		}
		int position = order.indexOf(step.view().self());
		for (int child = (position + 1) * fanOut; child < Math.min((position + 2) * fanOut, order.size()); child++) {
			step.emit(new PeerEffect.Send(order.get(child), message));
		}
	}

	/**
	 * Collects the columns of one set.
	 */
	private static final class GroupSetColumns {

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
			fleet.sight(record.head()).ifPresent((seen) -> {
				this.running.add(seen.report().running());
				this.queued.add(seen.report().queued());
				this.tokensPerSecond.add((int) Math.round(seen.report().tokensPerSecond()));
				this.freeCacheTokens.add(seen.report().freeCacheTokens());
			});
		}

		GroupSetSights toObservations(GroupSetName set) {
			return new GroupSetSights(set, this.ordinals, this.generations, this.ages, this.running, this.queued,
					this.tokensPerSecond, this.freeCacheTokens);
		}

	}

}
