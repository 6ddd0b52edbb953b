package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeChange;
import sycamorehill.model.serving.NodeMessage;

/**
 * The other entry nodes: where they are, and which of them were heard lately.
 */
final class Neighbours {

	/** A node that was not heard for so long is not counted: it misses 25 messages. */
	private static final Duration LIVES = Duration.ofSeconds(5);

	private final String self;

	private final Map<String, Address> addresses = new HashMap<>();

	private final Map<String, Instant> heard = new HashMap<>();

	private Neighbours(String self) {
		this.self = self;
	}

	static Neighbours of(String self) {
		return new Neighbours(self);
	}

	void read(List<NodeChange> changes, Instant now) {
		for (NodeChange change : changes) {
			if (change.name().equals(this.self)) {
				continue;
			}
			change.address().ifPresentOrElse((address) -> {
				this.addresses.put(change.name(), address);
				this.heard.putIfAbsent(change.name(), now);
			}, () -> this.addresses.remove(change.name()));
		}
	}

	void heard(String node, Instant now) {
		this.heard.put(node, now);
	}

	/**
	 * Counts the nodes that live, this one with them.
	 * @param now the present time
	 * @return the number of nodes
	 */
	int living(Instant now) {
		return 1 + (int) this.addresses.keySet().stream().filter((node) -> lives(node, now)).count();
	}

	private boolean lives(String node, Instant now) {
		Instant last = this.heard.get(node);
		return last != null && now.isBefore(last.plus(LIVES));
	}

	void tellAll(NodeMessage message, Effects effects) {
		this.addresses.values().forEach((address) -> effects.add(new EntryEffect.Tell(address, message)));
	}

	/**
	 * Tells one node.
	 * @param node the node's name
	 * @param message what to tell
	 * @param effects collects what is wanted
	 */
	void tell(String node, NodeMessage message, Effects effects) {
		Optional.ofNullable(this.addresses.get(node))
			.ifPresent((address) -> effects.add(new EntryEffect.Tell(address, message)));
	}

}
