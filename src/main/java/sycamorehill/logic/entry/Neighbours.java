package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;

/**
 * The other entry nodes: where they are, and which of them were heard lately.
 */
final class Neighbours {

	/** A node that was not heard for so long is not counted: few nodes tell 25 times. */
	private static final Duration LIVES = Duration.ofSeconds(5);

	/** Messages of a node that may be lost in a row before it is not counted. */
	private static final int MESSAGES_MISSED = 2;

	/**
	 * What a node told of the store is good for so long: few nodes tell it five times a
	 * second, many tell half of the others within it.
	 */
	private static final Duration STORE_WORD_VALID = Duration.ofMillis(1500);

	/** A load report is out of date after about as long as an event takes. */
	private static final Duration LOADS_TOLD_EVERY = Duration.ofMillis(200);

	/**
	 * Messages about loads that a node takes in a second, at most: small VMs have little
	 * processor time and bandwidth beside their callers'.
	 */
	private static final int LOADS_TAKEN_A_SECOND = 60;

	/** Other nodes that may all be told at the shortest pause. */
	private static final int FEW_NODES = 12;

	/**
	 * Nodes of other data centres are told once in so many times: each data centre has
	 * targets of its own, which its nodes prefer.
	 */
	private static final int FAR_TOLD_ONCE_IN = 5;

	private final NodeRecord self;

	private final DataCentreName own;

	private Instant loadsTold = Instant.MIN;

	private int timesTold;

	private final Map<String, NodeRecord> nodes = new HashMap<>();

	private final Map<String, Instant> heard = new HashMap<>();

	private final Map<String, StoreWord> storeWords = new HashMap<>();

	private final Map<DataCentreName, Relay> relays = new HashMap<>();

	private final Map<DataCentreName, Count> counts = new HashMap<>();

	private Neighbours(NodeRecord self) {
		this.self = self;
		this.own = self.dataCentre();
	}

	static Neighbours of(NodeRecord self) {
		return new Neighbours(self);
	}

	/**
	 * Takes all nodes that the store shows. A node that is missing there stays while it
	 * is heard: the list may be older than its start.
	 * @param listed the nodes
	 * @param now the present time
	 */
	void listed(List<NodeRecord> listed, Instant now) {
		Set<String> names = listed.stream().map(NodeRecord::name).collect(Collectors.toSet());
		Instant since = now.minus(livesFor());
		for (String node : List.copyOf(this.nodes.keySet())) {
			if (!names.contains(node) && !heardAfter(node, since)) {
				forget(node);
			}
		}
		listed.forEach((node) -> add(node, now));
	}

	private void add(NodeRecord node, Instant now) {
		if (!node.name().equals(this.self.name())) {
			this.nodes.put(node.name(), node);
			this.heard.putIfAbsent(node.name(), now);
		}
	}

	private void forget(String node) {
		this.nodes.remove(node);
		this.heard.remove(node);
		this.storeWords.remove(node);
	}

	void heard(NodeMessage message, Instant now) {
		this.heard.put(message.sender(), now);
		if (message instanceof NodeMessage.Loads loads) {
			this.storeWords.put(message.sender(), new StoreWord(loads.storeReached(), now));
		}
		else if (message instanceof NodeMessage.LoadsAdded added) {
			for (LoadSum sum : added.sums()) {
				this.heard.put(sum.node(), now);
				this.counts.put(sum.dataCentre(), new Count(sum.nodes(), now));
			}
		}
		else if (message instanceof NodeMessage.Introduction introduction) {
			add(introduction.node(), now);
		}
		else if (message instanceof NodeMessage.StoreNews news) {
			this.relays.put(news.dataCentre(), new Relay(news.sender(), now));
		}
	}

	/**
	 * Whether a duty that one node has for others is rather a node's than another's. It
	 * takes processor time and bandwidth, of which small VMs have just enough for their
	 * callers; among equals names decide.
	 * @param node a node, maybe this one
	 * @param other another node
	 * @return true if the first goes before the other
	 */
	boolean goesBefore(String node, String other) {
		int stronger = Double.compare(processor(other), processor(node));
		return (stronger != 0) ? stronger < 0 : node.compareTo(other) < 0;
	}

	private double processor(String node) {
		if (node.equals(this.self.name())) {
			return this.self.processor();
		}
		NodeRecord known = this.nodes.get(node);
		return (known != null) ? known.processor() : 0;
	}

	/**
	 * Whether the loads are to be told.
	 * @param now the present time
	 * @return true if it is time
	 */
	boolean loadsDue(Instant now) {
		boolean possible = !now.isBefore(this.loadsTold.plus(LOADS_TOLD_EVERY));
		return possible && !now.isBefore(this.loadsTold.plus(interval()));
	}

	private Duration interval() {
		if (fewNodes()) {
			return LOADS_TOLD_EVERY;
		}
		int near = near().size();
		double told = near + (double) (this.nodes.size() - near) / FAR_TOLD_ONCE_IN;
		long millis = (long) (told * 1000 / LOADS_TAKEN_A_SECOND);
		return Duration.ofMillis(Math.max(millis, LOADS_TOLD_EVERY.toMillis()));
	}

	boolean fewNodes() {
		return this.nodes.size() <= FEW_NODES;
	}

	/**
	 * Where the other nodes of the own data centre take messages.
	 * @return their addresses
	 */
	List<Address> near() {
		return nearRecords().map(NodeRecord::address).toList();
	}

	private Stream<NodeRecord> nearRecords() {
		return this.nodes.values().stream().filter((node) -> node.dataCentre().equals(this.own));
	}

	/**
	 * The other nodes of the own data centre.
	 * @return their names
	 */
	List<String> nearNodes() {
		return nearRecords().map(NodeRecord::name).toList();
	}

	/**
	 * Tells the loads to the nodes whose turn it is.
	 * @param loads the loads
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tellLoads(NodeMessage.Loads loads, Instant now, Effects effects) {
		this.loadsTold = now;
		this.timesTold++;
		if (fewNodes() || this.timesTold % FAR_TOLD_ONCE_IN == 0) {
			tellAll(loads, effects);
		}
		else {
			effects.add(new EntryEffect.Tell(near(), loads));
		}
	}

	/**
	 * Counts the nodes that live, this one with them: those that are heard, and for a
	 * data centre whose nodes are counted by one of them, those that it counts.
	 * @param now the present time
	 * @return the number of nodes
	 */
	int living(Instant now) {
		Instant since = now.minus(livesFor());
		Map<DataCentreName, Integer> living = new HashMap<>();
		living.put(this.own, 1);
		for (NodeRecord node : this.nodes.values()) {
			if (heardAfter(node.name(), since)) {
				living.merge(node.dataCentre(), 1, Integer::sum);
			}
		}
		this.counts.forEach((dataCentre, count) -> {
			if (now.isBefore(count.at().plus(LIVES))) {
				living.put(dataCentre, count.nodes());
			}
		});
		return living.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * The other nodes that share what one target takes. Of few nodes, each of which is
	 * heard, those that live; many nodes would be taken for gone because they tell
	 * others.
	 * @param now the present time
	 * @return the nodes
	 */
	List<NodeRecord> sharing(Instant now) {
		Instant since = now.minus(livesFor());
		return this.nodes.values().stream().filter((node) -> !fewNodes() || heardAfter(node.name(), since)).toList();
	}

	/**
	 * Whether no node reaches the store, as far as is heard: at least half of the nodes
	 * have said so lately, and none has said that it does. Nodes that are cut off
	 * together hear fewer.
	 * @param now the present time
	 * @return true if the store is away for all
	 */
	boolean storeAwayForAll(Instant now) {
		Instant since = now.minus(STORE_WORD_VALID);
		List<StoreWord> lately = this.storeWords.values().stream().filter((word) -> word.at().isAfter(since)).toList();
		return lately.stream().noneMatch(StoreWord::reached) && 2 * (lately.size() + 1) >= known();
	}

	/**
	 * Counts the nodes that are entered, this one with them.
	 * @return the number of nodes
	 */
	int known() {
		return 1 + this.nodes.size();
	}

	private boolean heardAfter(String node, Instant since) {
		Instant last = this.heard.get(node);
		return last != null && since.isBefore(last);
	}

	// Many nodes tell those of other data centres rarely. Nodes that are not counted
	// would leave the others too large a part of the retry budget.
	private Duration livesFor() {
		Duration many = interval().multipliedBy((long) FAR_TOLD_ONCE_IN * (MESSAGES_MISSED + 1));
		return (!fewNodes() && many.compareTo(LIVES) > 0) ? many : LIVES;
	}

	/**
	 * Tells the nodes of the own data centre.
	 * @param message what to tell
	 * @param effects collects what is wanted
	 */
	void tellNear(NodeMessage message, Effects effects) {
		List<Address> near = near();
		if (!near.isEmpty()) {
			effects.add(new EntryEffect.Tell(near, message));
		}
	}

	/**
	 * Tells one or two nodes of each other data centre, which pass it on there: of those
	 * that were heard lately the one that goes before the others, and the one that told
	 * last what it reads, which takes its place if it has failed. A node that has just
	 * begun to read may have heard none of them.
	 * @param message what to tell
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tellRelays(NodeMessage message, Instant now, Effects effects) {
		List<Address> relays = relays(now);
		if (!relays.isEmpty()) {
			effects.add(new EntryEffect.Tell(relays, message));
		}
	}

	/**
	 * Where the nodes of other data centres take messages that pass on there what they
	 * are told.
	 * @param now the present time
	 * @return their addresses
	 */
	List<Address> relays(Instant now) {
		Instant since = now.minus(livesFor());
		Set<String> told = new TreeSet<>();
		Map<DataCentreName, String> first = new HashMap<>();
		for (NodeRecord node : this.nodes.values()) {
			if (!node.dataCentre().equals(this.own)) {
				first.merge(node.dataCentre(), node.name(), (one, two) -> rather(one, two, since));
			}
		}
		told.addAll(first.values());
		first.keySet()
			.stream()
			.flatMap((dataCentre) -> Optional.ofNullable(this.relays.get(dataCentre)).stream())
			.filter((relay) -> since.isBefore(relay.at().plus(LIVES)))
			.map(Relay::node)
			.filter(this.nodes::containsKey)
			.forEach(told::add);
		return told.stream().map((node) -> this.nodes.get(node).address()).toList();
	}

	private String rather(String node, String other, Instant since) {
		boolean lives = heardAfter(node, since);
		if (lives != heardAfter(other, since)) {
			return lives ? node : other;
		}
		return goesBefore(node, other) ? node : other;
	}

	void tellAll(NodeMessage message, Effects effects) {
		effects.add(new EntryEffect.Tell(this.nodes.values().stream().map(NodeRecord::address).toList(), message));
	}

	/**
	 * Tells one node.
	 * @param node the node's name
	 * @param message what to tell
	 * @param effects collects what is wanted
	 */
	void tell(String node, NodeMessage message, Effects effects) {
		Optional.ofNullable(this.nodes.get(node))
			.ifPresent((known) -> effects.add(new EntryEffect.Tell(List.of(known.address()), message)));
	}

	/**
	 * What another node told of the store.
	 *
	 * @param reached whether it reaches the store
	 * @param at when it was heard
	 */
	private record StoreWord(boolean reached, Instant at) {
	}

	/**
	 * A node that told what it reads for its data centre. It counts until the one that it
	 * stands for is known to be gone.
	 *
	 * @param node its name
	 * @param at when it was heard
	 */
	private record Relay(String node, Instant at) {
	}

	/**
	 * How many nodes of a data centre live, as one of them counts.
	 *
	 * @param nodes their number
	 * @param at when it was heard
	 */
	private record Count(int nodes, Instant at) {
	}

}
