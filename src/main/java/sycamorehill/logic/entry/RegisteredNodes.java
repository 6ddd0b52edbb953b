package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Tracks which nodes are registered in the store, and which of them count this one. The
 * bounds on all nodes together are divided among the registered nodes.
 *
 * Nodes learn of each other with a delay, or not at all behind a partition, so they
 * divide a bound by different numbers. Together they still keep to it if of any two nodes
 * that use their shares each counts the other: then none of them divides by fewer nodes
 * than use shares. A node therefore uses none until all nodes that were registered before
 * it have confirmed that they count it. Those that register after it find it in their
 * lists. A node that falls silent is still counted, because it may go on behind a
 * partition; one that has deregistered uses no share any more. A node that never
 * confirms, because its VM was lost, doesn't keep others without shares for good: a share
 * may only be used while the list on which it rests is recent, so any node that still
 * uses one counts this node after a while.
 */
final class RegisteredNodes {

	/**
	 * How old a list may be that the store returns from a copy: it may lack nodes that
	 * have registered since.
	 */
	private static final Duration MAXIMUM_LIST_AGE = Duration.ofSeconds(15);

	/**
	 * How long shares may be used that rest on a list; several reads of the list may fail
	 * in this time.
	 */
	private static final Duration LIST_VALIDITY = Duration.ofMinutes(2);

	/** Interval at which this node introduces itself until it is confirmed. */
	private static final Duration INTRODUCTION_INTERVAL = Duration.ofSeconds(1);

	private final String self;

	private final Map<String, Registration> others = new HashMap<>();

	private Optional<Instant> firstListedAt = Optional.empty();

	private Instant listedAt = Instant.MIN;

	private Instant introducedAt = Instant.MIN;

	private Optional<Instant> confirmedByAllAt = Optional.empty();

	private RegisteredNodes(String self) {
		this.self = self;
	}

	static RegisteredNodes of(String self) {
		return new RegisteredNodes(self);
	}

	/**
	 * Handles a list of the registered nodes. The first one is read after this node has
	 * registered, and contains all nodes that have registered before it.
	 * @param names names of the listed nodes
	 * @param now the current time
	 */
	void handleList(Set<String> names, Instant now) {
		boolean first = this.firstListedAt.isEmpty();
		names.forEach((name) -> add(name, !first, now));
		this.others.replaceAll((name, other) -> names.contains(name) ? other : other.missing(now));
		if (first) {
			this.firstListedAt = Optional.of(now);
			this.others.replaceAll((name, other) -> names.contains(name) ? other : other.confirmed());
		}
		if (first || names.contains(this.self)) {
			this.listedAt = now;
		}
		updateConfirmation(now);
	}

	/**
	 * Handles the introduction of another node, which has registered.
	 * @param name the node's name
	 * @param now the current time
	 */
	void handleIntroduction(String name, Instant now) {
		add(name, this.firstListedAt.isPresent(), now);
	}

	private void add(String name, boolean confirms, Instant now) {
		if (!name.equals(this.self)) {
			Registration known = this.others.get(name);
			boolean confirmsNow = (known != null) ? known.confirms() : confirms;
			this.others.put(name, new Registration(now, confirmsNow, Optional.empty()));
		}
	}

	/**
	 * Handles the confirmation of another node that it counts this one.
	 * @param name the node's name
	 * @param now the current time
	 */
	void handleConfirmation(String name, Instant now) {
		this.others.computeIfPresent(name, (key, other) -> other.confirmed());
		updateConfirmation(now);
	}

	private void updateConfirmation(Instant now) {
		if (this.confirmedByAllAt.isEmpty() && this.firstListedAt.isPresent() && unconfirmed().findAny().isEmpty()) {
			this.confirmedByAllAt = Optional.of(now);
		}
	}

	private Stream<String> unconfirmed() {
		return this.others.entrySet()
			.stream()
			.filter((other) -> !other.getValue().confirms() && other.getValue().missingSince().isEmpty())
			.map(Map.Entry::getKey);
	}

	int countUnconfirmed() {
		return (int) unconfirmed().count();
	}

	/**
	 * Returns the nodes to which this node has to introduce itself now. Once it need not
	 * wait for them any more, there are none.
	 * @param now the current time
	 * @return their names
	 */
	List<String> takeDueIntroductions(Instant now) {
		boolean waiting = countedSince().filter(now::isBefore).isPresent();
		boolean due = this.introducedAt == Instant.MIN || !now.isBefore(this.introducedAt.plus(INTRODUCTION_INTERVAL));
		if (!waiting || !due) {
			return List.of();
		}
		this.introducedAt = now;
		return unconfirmed().toList();
	}

	/**
	 * Returns since when all nodes that use shares count this one.
	 * @return the time, possibly in the future; empty if this node has read no list
	 */
	Optional<Instant> countedSince() {
		return this.confirmedByAllAt
			.or(() -> this.firstListedAt.map((listed) -> listed.plus(LIST_VALIDITY).plus(MAXIMUM_LIST_AGE)));
	}

	/**
	 * Returns whether the last list that contains this node is recent.
	 * @param now the current time
	 * @return true if shares may be used
	 */
	boolean isListValid(Instant now) {
		return this.firstListedAt.isPresent() && now.isBefore(this.listedAt.plus(LIST_VALIDITY));
	}

	/**
	 * Counts the nodes that may use shares.
	 * @param since nodes count that were registered after this time
	 * @return the number of nodes, and this node's place among them
	 */
	Place place(Instant since) {
		int nodes = 1;
		int before = 0;
		for (Map.Entry<String, Registration> other : this.others.entrySet()) {
			if (!other.getValue().isMissingBefore(since)) {
				nodes++;
				before += (other.getKey().compareTo(this.self) < 0) ? 1 : 0;
			}
		}
		return new Place(nodes, before);
	}

	/**
	 * Returns the names of the nodes that may use shares.
	 * @param since nodes count that were registered after this time
	 * @return the names, including this node's
	 */
	Set<String> countedNames(Instant since) {
		Set<String> names = new HashSet<>(Set.of(this.self));
		this.others.forEach((name, other) -> {
			if (!other.isMissingBefore(since)) {
				names.add(name);
			}
		});
		return names;
	}

	/**
	 * This node's place among all that are counted.
	 *
	 * @param nodes number of nodes, including this one
	 * @param before number of nodes whose names come before this one's
	 */
	record Place(int nodes, int before) {
	}

	/**
	 * The registration of another node.
	 *
	 * @param knownAt when it was last found to be registered
	 * @param confirms whether the node counts this one
	 * @param missingSince since when it is known to be no longer registered
	 */
	private record Registration(Instant knownAt, boolean confirms, Optional<Instant> missingSince) {

		Registration confirmed() {
			return new Registration(this.knownAt, true, this.missingSince);
		}

		boolean isMissingBefore(Instant time) {
			return this.missingSince.isPresent() && this.missingSince.get().isBefore(time);
		}

		// The list may be older than the registration.
		Registration missing(Instant now) {
			if (this.missingSince.isPresent() || now.isBefore(this.knownAt.plus(MAXIMUM_LIST_AGE))) {
				return this;
			}
			return new Registration(this.knownAt, this.confirms, Optional.of(now));
		}

	}

}
