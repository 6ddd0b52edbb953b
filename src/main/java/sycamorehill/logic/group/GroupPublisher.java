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
import sycamorehill.logic.observation.StateHash;
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
import sycamorehill.model.peer.GroupSetObservations;
import sycamorehill.model.peer.GroupsSent;
import sycamorehill.model.policy.ObservationPolicy;

/**
 * Publishes the serving groups. The stewards of a data centre send them along a tree to
 * its other nodes, and to one steward of each other data centre, which relays them there.
 */
final class GroupPublisher {

	private static final int MESSAGES_WITH_FACTS_AFTER_CHANGE = 3;

	private static final int FACTS_INTERVAL_IN_MESSAGES = 10;

	private static final int REMOTE_SEND_INTERVAL_IN_MESSAGES = 2;

	private GroupPublisher() {
	}

	static void tick(GroupStep step, boolean steward) {
		Optional<Allocation> allocation = step.state().effectiveAllocation();
		if (!steward || allocation.isEmpty()) {
			return;
		}
		List<GroupRecord> serving = servingGroups(step, allocation.get());
		List<GroupIdentity> identities = serving.stream().map(GroupRecord::identity).toList();
		GroupPublicationState publication = step.state().spread();
		// A node that starts while the platform is down learns of groups only from these
		// messages. Its incarnation is part of the hash so that it is sent the facts at
		// once; otherwise it would refuse every request until the next regular message
		// with facts.
		int hash = Objects.hash(identities, step.state().allocation().version(), liveIncarnations(step));
		boolean changed = hash != publication.lastSent();
		if (!changed && step.now().isBefore(publication.nextAt())) {
			return;
		}
		ObservationPolicy policy = step.view().policy().observation();
		// The stewards share the work: each one waits for as many intervals as there are
		// stewards, so that together they publish once per interval.
		Duration interval = policy.digestInterval().multipliedBy(policy.stewards());
		int factsLeft = changed ? MESSAGES_WITH_FACTS_AFTER_CHANGE : Math.max(0, publication.factsLeft() - 1);
		boolean withFacts = changed || publication.factsLeft() > 0
				|| publication.spreads() % FACTS_INTERVAL_IN_MESSAGES == 0;
		step.update(step.state().withPublication(publication.withSent(step.now().plus(interval), hash, factsLeft)));
		GroupsSent message = message(step, serving, withFacts);
		forward(step, message);
		// A change is sent to the other data centres more than once: if the only message
		// were lost, a data centre would refuse its callers until the next regular
		// message with addresses and members. Relayed messages are not counted here: with
		// an even number of them between two messages of this node, none of its messages
		// would go to the other data centres.
		if (withFacts || publication.spreads() % REMOTE_SEND_INTERVAL_IN_MESSAGES == 0) {
			sendToRemoteDataCentres(step, message);
		}
	}

	private static Set<NodeIncarnation> liveIncarnations(GroupStep step) {
		return step.view()
			.liveNodes()
			.nodes()
			.values()
			.stream()
			.map((node) -> node.identity().incarnation())
			.collect(Collectors.toSet());
	}

	private static List<GroupRecord> servingGroups(GroupStep step, Allocation allocation) {
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
		List<GroupSetObservations> columns = sets.entrySet()
			.stream()
			.map((entry) -> entry.getValue().toObservations(entry.getKey()))
			.toList();
		return new GroupsSent(step.view().self().dataCentre(), step.view().self().incarnation(),
				step.state().spread().round(), step.now().toEpochMilli(), step.state().allocation().version(),
				StateHash.of(fleet.entries().values()), columns, facts);
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
				int choice = (int) ((message.round() / REMOTE_SEND_INTERVAL_IN_MESSAGES) % stewards.size());
				step.emit(new PeerEffect.Send(stewards.get(choice), message));
			}
		}
	}

	static void handleMessage(GroupStep step, NodeIdentity from, GroupsSent message) {
		GroupPublicationState publication = step.state().spread();
		SenderClocks clocks = publication.clocks().withMessage(from.incarnation(), step.now(), message.sentAt());
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
			forward(step, relayedMessage(step, message, root, message.round(), delay));
		}
	}

	// A message from another data centre is distributed from this node as the root.
	private static void startRelay(GroupStep step, GroupsSent message, long delay) {
		GroupPublicationState publication = step.state().spread().withNextRound();
		step.update(step.state().withPublication(publication));
		forward(step, relayedMessage(step, message, step.view().self().incarnation(), publication.round(), delay));
	}

	private static GroupsSent relayedMessage(GroupStep step, GroupsSent message, NodeIncarnation root, long round,
			long delay) {
		List<GroupSetObservations> relayedSets = message.sets().stream().map((set) -> addDelay(set, delay)).toList();
		return new GroupsSent(message.dataCentre(), root, round, step.now().toEpochMilli(), message.allocationVersion(),
				message.listHash(), relayedSets, message.facts());
	}

	private static GroupSetObservations addDelay(GroupSetObservations set, long delay) {
		List<Integer> ages = set.ages().stream().map((age) -> (int) (age + delay)).toList();
		return new GroupSetObservations(set.set(), set.ordinals(), set.generations(), ages, set.running(), set.queued(),
				set.tokensPerSecond(), set.freeCacheTokens());
	}

	private static void forward(GroupStep step, GroupsSent message) {
		int fanOut = step.view().policy().observation().relayFanOut();
		List<NodeIdentity> order = new ArrayList<>();
		for (LiveNode node : Rendezvous.rank(step.view().liveNodes().notStoppingIn(step.view().self().dataCentre()),
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
	 * Collects the columns of the message for one group set.
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
			fleet.observation(record.head()).ifPresent((seen) -> {
				this.running.add(seen.report().running());
				this.queued.add(seen.report().queued());
				this.tokensPerSecond.add((int) Math.round(seen.report().tokensPerSecond()));
				this.freeCacheTokens.add(seen.report().freeCacheTokens());
			});
		}

		GroupSetObservations toObservations(GroupSetName set) {
			return new GroupSetObservations(set, this.ordinals, this.generations, this.ages, this.running, this.queued,
					this.tokensPerSecond, this.freeCacheTokens);
		}

	}

}
