package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;

/**
 * Lets one node read the store for all others, so that the number of calls to the store
 * doesn't grow with the number of nodes.
 *
 * Each node reads for itself until it receives an update from a node that takes
 * precedence over it. The first of all live nodes in this order receives none and keeps
 * reading: it is the reader. It sends each change, and several times a second its
 * progress, to the nodes of its data centre and to one or two nodes of each other data
 * centre, which relay them there. Each update states how long ago the store answered, so
 * that its validity does not begin again at each node on the way. A node whose last
 * update has expired reads for itself again, whatever the cause.
 */
final class StoreRelay {

	/** Interval between two updates while nothing changes; two of them may be lost. */
	static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);

	/**
	 * How long an answer of the store is valid if a node of the local data centre sends
	 * it. A change must take effect within 2 s after it is stored: the rest is for a call
	 * of this node itself, and for a connection to a target that was selected just
	 * before.
	 */
	static final Duration LOCAL_UPDATE_VALIDITY = Duration.ofMillis(1400);

	/**
	 * How long an answer of the store is valid if a node of another data centre sends it.
	 * It expires earlier, so that a relay reads for itself before the nodes that it sends
	 * to would.
	 */
	static final Duration REMOTE_UPDATE_VALIDITY = Duration.ofMillis(1250);

	/** Maximum time that a call of the reader waits in the store for a change. */
	static final Duration LONG_POLL_WAIT = Duration.ofMillis(500);

	/**
	 * How long after an answer of the store a node sends its progress: if the store stops
	 * answering only this node, others read instead.
	 */
	static final Duration OWN_READ_VALIDITY = Duration.ofMillis(900);

	private final String self;

	private final DataCentreName dataCentre;

	private final BiPredicate<String, String> takesPrecedence;

	private final Predicate<Instant> evacuationsRead;

	private final RecentChanges recentChanges = new RecentChanges();

	private long revision = -1;

	private long changeRevision = -1;

	private long configurationVersion;

	private long configurationRevision;

	private Instant targetsReadAt = Instant.MIN;

	private Instant configurationReadAt = Instant.MIN;

	private Instant updateSentAt = Instant.MIN;

	private Source source = Source.NONE;

	private StoreRelay(String self, DataCentreName dataCentre, BiPredicate<String, String> takesPrecedence,
			Predicate<Instant> evacuationsRead) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.takesPrecedence = takesPrecedence;
		this.evacuationsRead = evacuationsRead;
	}

	/**
	 * Creates a relay.
	 * @param self the node's name
	 * @param dataCentre the node's data centre
	 * @param takesPrecedence whether the first node reads rather than the second one
	 * @param evacuationsRead whether the store has answered this node's last call for
	 * evacuations at a time
	 * @return the relay
	 */
	static StoreRelay of(String self, DataCentreName dataCentre, BiPredicate<String, String> takesPrecedence,
			Predicate<Instant> evacuationsRead) {
		return new StoreRelay(self, dataCentre, takesPrecedence, evacuationsRead);
	}

	/**
	 * Returns whether another node reads the store for this one.
	 * @param now the current time
	 * @return true if its last update is still valid
	 */
	boolean receivesStoreUpdates(Instant now) {
		return this.source.answeredAt != Instant.MIN && now.isBefore(this.source.validUntil());
	}

	/**
	 * Returns whether this node may leave reading to the node whose updates it receives.
	 * A node that takes precedence over that one keeps reading: after an outage, the
	 * store answers some node first, which may be a weak one.
	 * @param now the current time
	 * @return true if this node need not read
	 */
	boolean reliesOnReader(Instant now) {
		return receivesStoreUpdates(now) && !takesPrecedenceOverSource();
	}

	private boolean takesPrecedenceOverSource() {
		return this.takesPrecedence.test(this.self, this.source.node);
	}

	/**
	 * Returns whether this node relays updates of a node in another data centre to its
	 * own data centre.
	 * @param now the current time
	 * @return true if it does
	 */
	boolean isRelay(Instant now) {
		return receivesStoreUpdates(now) && !this.source.local;
	}

	/**
	 * Returns the node that distributes store updates in this node's data centre.
	 * @param now the current time
	 * @return its name, possibly this node's; empty while each node reads for itself
	 */
	Optional<String> distributor(Instant now) {
		if (receivesStoreUpdates(now) && this.source.local) {
			return Optional.of(this.source.node);
		}
		return (isRelay(now) || isReader(now)) ? Optional.of(this.self) : Optional.empty();
	}

	/**
	 * Returns the node whose reads this one relies on.
	 * @param now the current time
	 * @return its name; this node's own name while it reads for itself
	 */
	String source(Instant now) {
		return receivesStoreUpdates(now) ? this.source.node : this.self;
	}

	/**
	 * Records the configuration in effect.
	 * @param version its version
	 */
	void recordAppliedConfiguration(long version) {
		this.configurationVersion = version;
	}

	/**
	 * Records that the store answered a call for the configuration.
	 * @param readRevision the revision up to which the configuration is known
	 * @param now the current time
	 */
	void recordConfigurationRead(long readRevision, Instant now) {
		this.configurationRevision = readRevision;
		this.configurationReadAt = now;
		replaceSource(now);
	}

	/**
	 * Records that the store answered a call for the evacuations.
	 * @param now the current time
	 */
	void recordEvacuationsRead(Instant now) {
		replaceSource(now);
	}

	// Once the store answers all kinds of calls, this node reads for the others again.
	private void replaceSource(Instant now) {
		if (receivesStoreUpdates(now) && takesPrecedenceOverSource() && hasRecentReads(now)) {
			this.source = Source.NONE;
		}
	}

	/**
	 * Records that all targets were read. The changes since the last read are not known.
	 * @param listRevision the revision of the list
	 * @param now the current time
	 */
	void recordTargetList(long listRevision, Instant now) {
		this.revision = listRevision;
		this.changeRevision = listRevision;
		this.recentChanges.clear();
		this.targetsReadAt = now;
		replaceSource(now);
	}

	/**
	 * Records changes that this node has read.
	 * @param batch the changes
	 * @param now the current time
	 * @return the update for the other nodes; without changes it reports only this node's
	 * progress
	 */
	NodeMessage.StoreUpdate recordTargetChanges(ChangeBatch batch, Instant now) {
		this.revision = batch.revision();
		this.targetsReadAt = now;
		replaceSource(now);
		if (batch.changes().isEmpty()) {
			return createProgressUpdate(now);
		}
		this.recentChanges.add(batch);
		long previousChange = this.changeRevision;
		this.changeRevision = batch.revision();
		return createUpdate(previousChange, batch.since(), batch.changes(), now);
	}

	private NodeMessage.StoreUpdate createUpdate(long previousChangeRevision, long since, List<TargetChange> changes,
			Instant now) {
		return new NodeMessage.StoreUpdate(this.self, this.dataCentre, this.configurationVersion,
				this.configurationRevision, previousChangeRevision, since, this.revision, changes, Optional.empty(),
				age(now));
	}

	/**
	 * Creates an update that repeats changes for a node that has missed them.
	 * @param since the revision that the other node has reached
	 * @param now the current time
	 * @return the update; empty if this node no longer holds all of the changes
	 */
	Optional<NodeMessage.StoreUpdate> repeatChanges(long since, Instant now) {
		return this.recentChanges.after(since)
			.filter((changes) -> !changes.isEmpty())
			.map((changes) -> createUpdate(since, since, changes, now));
	}

	// Returns the time since the store gave the answer on which this node's state is
	// based.
	private Duration age(Instant now) {
		if (receivesStoreUpdates(now)) {
			return Duration.between(this.source.answeredAt, now);
		}
		Instant older = this.targetsReadAt.isBefore(this.configurationReadAt) ? this.targetsReadAt
				: this.configurationReadAt;
		return (older != Instant.MIN) ? Duration.between(older, now) : OWN_READ_VALIDITY;
	}

	/**
	 * Records that the store did not answer this node, which has no updates to send then.
	 */
	void recordReadFailure() {
		this.targetsReadAt = Instant.MIN;
	}

	/**
	 * Returns whether this node is the reader for others. The others make no calls of any
	 * kind, so a call that hangs must keep this node from sending updates, even if calls
	 * of the other kinds are answered.
	 * @param now the current time
	 * @return true if no node reads for this one and the store answers all kinds of calls
	 */
	boolean isReader(Instant now) {
		return !receivesStoreUpdates(now) && hasRecentReads(now);
	}

	private boolean hasRecentReads(Instant now) {
		return isRecent(this.targetsReadAt, now) && isRecent(this.configurationReadAt, now)
				&& this.evacuationsRead.test(now);
	}

	private static boolean isRecent(Instant readAt, Instant now) {
		return readAt != Instant.MIN && now.isBefore(readAt.plus(OWN_READ_VALIDITY));
	}

	boolean isUpdateDue(Instant now) {
		return isReader(now) && !now.isBefore(this.updateSentAt.plus(UPDATE_INTERVAL));
	}

	/**
	 * Creates the update that is sent while nothing changes.
	 * @param now the current time
	 * @return an update that reports this node's progress
	 */
	NodeMessage.StoreUpdate createProgressUpdate(Instant now) {
		return createUpdate(this.changeRevision, this.revision, List.of(), now);
	}

	void recordUpdateSent(Instant now) {
		this.updateSentAt = now;
	}

	/**
	 * Handles an update from another node.
	 * @param update the update
	 * @param now the current time
	 * @return what to do with it
	 */
	UpdateResult handleUpdate(NodeMessage.StoreUpdate update, Instant now) {
		boolean local = update.dataCentre().equals(this.dataCentre);
		if (!acceptsUpdateFrom(update.sender(), local, now)) {
			return UpdateResult.IGNORED;
		}
		this.source = new Source(update.sender(), local, now.minus(update.age()));
		boolean configuration = update.configurationVersion() > this.configurationVersion;
		if (this.revision < 0) {
			return new UpdateResult(true, configuration, false, false, Optional.empty());
		}
		boolean noChangeMissed = this.revision >= update.previousChangeRevision();
		boolean partlyRead = this.revision > update.since() && this.revision < update.revision();
		if (!noChangeMissed || partlyRead) {
			return new UpdateResult(true, configuration, true, false, Optional.empty());
		}
		boolean apply = this.revision < update.revision() && !update.changes().isEmpty();
		if (apply) {
			this.recentChanges.add(new ChangeBatch(update.since(), update.revision(), update.changes()));
		}
		advanceRevisions(update);
		Optional<NodeMessage.StoreUpdate> relayed = local ? Optional.empty()
				: Optional.of(update.relayedBy(this.self, this.dataCentre));
		return new UpdateResult(true, configuration, false, apply, relayed);
	}

	// A new reader reports the revision of the last change before it began. If that
	// revision were too low, a node that missed the change would consider it known, and
	// keep sending requests to a target that has left.
	private void advanceRevisions(NodeMessage.StoreUpdate update) {
		if (this.revision < update.revision()) {
			this.revision = update.revision();
		}
		long changed = update.changes().isEmpty() ? update.previousChangeRevision() : update.revision();
		this.changeRevision = Math.max(this.changeRevision, changed);
	}

	// If several nodes read, the one that takes precedence keeps reading. The local data
	// centre takes precedence over others, so that one node of each data centre receives
	// remote updates; it is one that takes precedence in its data centre. A node that the
	// store does not answer accepts updates from any node.
	private boolean acceptsUpdateFrom(String sender, boolean local, Instant now) {
		if (!receivesStoreUpdates(now)) {
			return !isReader(now) || this.takesPrecedence.test(sender, this.self);
		}
		if (local != this.source.local) {
			return (local || takesPrecedenceOverSource()) && this.takesPrecedence.test(sender, this.self);
		}
		return sender.equals(this.source.node) || this.takesPrecedence.test(sender, this.source.node);
	}

	long revision() {
		return this.revision;
	}

	/**
	 * Identifies the node that reads for this one.
	 *
	 * @param node its name
	 * @param local whether it is in the same data centre
	 * @param answeredAt when the store gave the answer that the last update is based on
	 */
	private record Source(String node, boolean local, Instant answeredAt) {

		private static final Source NONE = new Source("", true, Instant.MIN);

		private Instant validUntil() {
			return this.answeredAt.plus(this.local ? LOCAL_UPDATE_VALIDITY : REMOTE_UPDATE_VALIDITY);
		}

	}

	/**
	 * Describes what to do with another node's update.
	 *
	 * @param accepted whether this node receives its store updates from the sender
	 * @param readConfiguration whether a newer configuration must be read
	 * @param readTargets whether changes were missed and must be read
	 * @param applyChanges whether the changes in the update are the next ones to apply
	 * @param relayedUpdate the update to send to the other nodes of the data centre
	 */
	record UpdateResult(boolean accepted, boolean readConfiguration, boolean readTargets, boolean applyChanges,
			Optional<NodeMessage.StoreUpdate> relayedUpdate) {

		private static final UpdateResult IGNORED = new UpdateResult(false, false, false, false, Optional.empty());

	}

}
