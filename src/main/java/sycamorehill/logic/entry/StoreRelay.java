package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;

/**
 * Lets one node read the store for all others, so that calls to the store don't grow with
 * the nodes.
 *
 * Each node reads for itself until it hears of a node that goes before it; the first of
 * all living nodes hears nobody and reads on. It tells each change, and several times a
 * second how far it has come, to the nodes of its data centre and to one node of each
 * other data centre, which passes it on there. Each message tells how long ago the store
 * answered, so that the time for which its word is good does not begin anew at each node
 * on the way. A node whose news is out of date reads for itself again, whatever the
 * cause.
 */
final class StoreRelay {

	/** Pause between two messages while nothing changes; two of them may be lost. */
	static final Duration UPDATE_INTERVAL = Duration.ofMillis(250);

	/**
	 * What the store answered is good for so long, whoever tells it. A change must be
	 * followed within 2 s of the store's knowing it: the rest is for a call of one's own,
	 * and for a connection to a target that was chosen just before.
	 */
	static final Duration LOCAL_UPDATE_VALIDITY = Duration.ofMillis(1400);

	/**
	 * The same for what a node of another data centre tells: a node that passes it on
	 * reads for itself before those that it tells would.
	 */
	static final Duration REMOTE_UPDATE_VALIDITY = Duration.ofMillis(1250);

	/** Longest time that a call of the node that reads waits for a change. */
	static final Duration LONG_POLL_WAIT = Duration.ofMillis(500);

	/**
	 * A node tells how far it has come only for so long after the store answered it: if
	 * the store stops answering it alone, others read instead.
	 */
	static final Duration OWN_READ_VALIDITY = Duration.ofMillis(900);

	private final String self;

	private final DataCentreName dataCentre;

	private final BiPredicate<String, String> takesPrecedence;

	private long revision = -1;

	private long changeRevision = -1;

	private long configurationVersion;

	private Instant targetsReadAt = Instant.MIN;

	private Instant configurationReadAt = Instant.MIN;

	private Instant updateSentAt = Instant.MIN;

	private Source source = new Source("", true, Instant.MIN);

	private StoreRelay(String self, DataCentreName dataCentre, BiPredicate<String, String> takesPrecedence) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.takesPrecedence = takesPrecedence;
	}

	static StoreRelay of(String self, DataCentreName dataCentre, BiPredicate<String, String> takesPrecedence) {
		return new StoreRelay(self, dataCentre, takesPrecedence);
	}

	/**
	 * Whether another node reads for this one.
	 * @param now the present time
	 * @return true if this node need not read
	 */
	boolean followsReader(Instant now) {
		return this.source.answeredAt != Instant.MIN && now.isBefore(this.source.validUntil());
	}

	/**
	 * Whether this node passes on to its data centre what a node of another one reads.
	 * @param now the present time
	 * @return true if it does
	 */
	boolean isRelay(Instant now) {
		return followsReader(now) && !this.source.local;
	}

	/**
	 * The node that tells this one's data centre the news of the store.
	 * @param now the present time
	 * @return its name, maybe this node's; none while each node reads for itself
	 */
	Optional<String> distributor(Instant now) {
		if (followsReader(now) && this.source.local) {
			return Optional.of(this.source.node);
		}
		return (isRelay(now) || isReader(now)) ? Optional.of(this.self) : Optional.empty();
	}

	/**
	 * The node whose news this one goes by.
	 * @param now the present time
	 * @return its name; this node's own name while it reads for itself
	 */
	String source(Instant now) {
		return followsReader(now) ? this.source.node : this.self;
	}

	/**
	 * Notes the configuration in force.
	 * @param version its version
	 */
	void recordAppliedConfiguration(long version) {
		this.configurationVersion = version;
	}

	/**
	 * Notes that the store answered a call for the configuration.
	 * @param now the present time
	 */
	void recordConfigurationRead(Instant now) {
		this.configurationReadAt = now;
	}

	/**
	 * Notes that all targets were read. What changed since the last read is not known.
	 * @param listRevision the revision of the list
	 * @param now the present time
	 */
	void recordTargetList(long listRevision, Instant now) {
		this.revision = listRevision;
		this.changeRevision = listRevision;
		this.targetsReadAt = now;
	}

	/**
	 * Notes changes that this node has read.
	 * @param batch what was read
	 * @param now the present time
	 * @return what to tell the others; without changes it says only how far this node has
	 * come
	 */
	NodeMessage.StoreNews recordTargetChanges(ChangeBatch batch, Instant now) {
		this.revision = batch.revision();
		this.targetsReadAt = now;
		if (batch.changes().isEmpty()) {
			return createProgressUpdate(now);
		}
		long previousChange = this.changeRevision;
		this.changeRevision = batch.revision();
		return createUpdate(previousChange, batch.since(), batch.changes(), now);
	}

	private NodeMessage.StoreNews createUpdate(long changedBefore, long since, List<TargetChange> changes,
			Instant now) {
		return new NodeMessage.StoreNews(this.self, this.dataCentre, this.configurationVersion, changedBefore, since,
				this.revision, changes, Optional.empty(), age(now));
	}

	private Duration age(Instant now) {
		Instant older = this.targetsReadAt.isBefore(this.configurationReadAt) ? this.targetsReadAt
				: this.configurationReadAt;
		return (older != Instant.MIN) ? Duration.between(older, now) : OWN_READ_VALIDITY;
	}

	/** Notes that the store did not answer this node: it has nothing to tell. */
	void recordReadFailure() {
		this.targetsReadAt = Instant.MIN;
	}

	/**
	 * Whether this node reads for others. They rest from calls of both kinds, so a call
	 * that hangs must keep it from telling, though the other kind is answered.
	 * @param now the present time
	 * @return true if nobody reads for this node and the store answers both its calls
	 */
	boolean isReader(Instant now) {
		return !followsReader(now) && isRecent(this.targetsReadAt, now) && isRecent(this.configurationReadAt, now);
	}

	private static boolean isRecent(Instant readAt, Instant now) {
		return readAt != Instant.MIN && now.isBefore(readAt.plus(OWN_READ_VALIDITY));
	}

	boolean isUpdateDue(Instant now) {
		return isReader(now) && !now.isBefore(this.updateSentAt.plus(UPDATE_INTERVAL));
	}

	/**
	 * What the others are told while nothing changes.
	 * @param now the present time
	 * @return how far this node has come
	 */
	NodeMessage.StoreNews createProgressUpdate(Instant now) {
		return createUpdate(this.changeRevision, this.revision, List.of(), now);
	}

	void recordUpdateSent(Instant now) {
		this.updateSentAt = now;
	}

	/**
	 * Takes what another node has read.
	 * @param update what it told
	 * @param now the present time
	 * @return what follows from it
	 */
	UpdateResult handleUpdate(NodeMessage.StoreNews update, Instant now) {
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
		advanceRevisions(update);
		Optional<NodeMessage.StoreNews> relayed = local ? Optional.empty()
				: Optional.of(update.relayedBy(this.self, this.dataCentre));
		return new UpdateResult(true, configuration, false, apply, relayed);
	}

	// A node that takes over reading tells what changed last before it did. If it told
	// too low a revision, a node that missed that change would take it as known, and go
	// on giving work to a target that has left.
	private void advanceRevisions(NodeMessage.StoreNews update) {
		if (this.revision < update.revision()) {
			this.revision = update.revision();
		}
		long changed = update.changes().isEmpty() ? update.previousChangeRevision() : update.revision();
		this.changeRevision = Math.max(this.changeRevision, changed);
	}

	// Of several nodes that read, the one that goes before the others reads on. The own
	// data centre goes before others, so that one node of each hears them. A node that
	// the store does not answer takes news from anybody.
	private boolean acceptsUpdateFrom(String sender, boolean local, Instant now) {
		if (!followsReader(now)) {
			return !isReader(now) || this.takesPrecedence.test(sender, this.self);
		}
		if (local != this.source.local) {
			return local && this.takesPrecedence.test(sender, this.self);
		}
		return sender.equals(this.source.node) || this.takesPrecedence.test(sender, this.source.node);
	}

	long revision() {
		return this.revision;
	}

	/**
	 * The node that reads for this one.
	 *
	 * @param node its name
	 * @param local whether it is of the same data centre
	 * @param answeredAt when the store answered what it told last
	 */
	private record Source(String node, boolean local, Instant answeredAt) {

		private Instant validUntil() {
			return this.answeredAt.plus(this.local ? LOCAL_UPDATE_VALIDITY : REMOTE_UPDATE_VALIDITY);
		}

	}

	/**
	 * Changes of targets as they were read.
	 *
	 * @param since the revision after which they were asked for
	 * @param revision the revision that they lead to
	 * @param changes the changes in their order
	 */
	record ChangeBatch(long since, long revision, List<TargetChange> changes) {
	}

	/**
	 * What follows from another node's news.
	 *
	 * @param accepted whether this node goes by it
	 * @param readConfiguration whether there is a newer configuration to be read
	 * @param readTargets whether changes were missed and must be read
	 * @param applyChanges whether the changes told are the next ones
	 * @param relayedUpdate what the other nodes of the data centre are told
	 */
	record UpdateResult(boolean accepted, boolean readConfiguration, boolean readTargets, boolean applyChanges,
			Optional<NodeMessage.StoreNews> relayedUpdate) {

		private static final UpdateResult IGNORED = new UpdateResult(false, false, false, false, Optional.empty());

	}

}
