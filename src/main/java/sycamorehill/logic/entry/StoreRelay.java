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
	static final Duration NEWS_EVERY = Duration.ofMillis(250);

	/**
	 * What the store answered is good for so long, whoever tells it. A change must be
	 * followed within 2 s of the store's knowing it: the rest is for a call of one's own,
	 * and for a connection to a target that was chosen just before.
	 */
	static final Duration NEAR_NEWS_VALID = Duration.ofMillis(1400);

	/**
	 * The same for what a node of another data centre tells: a node that passes it on
	 * reads for itself before those that it tells would.
	 */
	static final Duration FAR_NEWS_VALID = Duration.ofMillis(1250);

	/** Longest time that a call of the node that reads waits for a change. */
	static final Duration READER_WAIT = Duration.ofMillis(500);

	/**
	 * A node tells how far it has come only for so long after the store answered it: if
	 * the store stops answering it alone, others read instead.
	 */
	static final Duration OWN_READ_VALID = Duration.ofMillis(900);

	private final String self;

	private final DataCentreName dataCentre;

	private final BiPredicate<String, String> goesBefore;

	private long revision = -1;

	private long changedAt = -1;

	private long configurationVersion;

	private Instant targetsReadAt = Instant.MIN;

	private Instant configurationReadAt = Instant.MIN;

	private Instant toldAt = Instant.MIN;

	private Source source = new Source("", true, Instant.MIN);

	private StoreRelay(String self, DataCentreName dataCentre, BiPredicate<String, String> goesBefore) {
		this.self = self;
		this.dataCentre = dataCentre;
		this.goesBefore = goesBefore;
	}

	static StoreRelay of(String self, DataCentreName dataCentre, BiPredicate<String, String> goesBefore) {
		return new StoreRelay(self, dataCentre, goesBefore);
	}

	/**
	 * Whether another node reads for this one.
	 * @param now the present time
	 * @return true if this node need not read
	 */
	boolean fed(Instant now) {
		return this.source.answeredAt != Instant.MIN && now.isBefore(this.source.validUntil());
	}

	/**
	 * Whether this node passes on to its data centre what a node of another one reads.
	 * @param now the present time
	 * @return true if it does
	 */
	boolean passesOn(Instant now) {
		return fed(now) && !this.source.near;
	}

	/**
	 * The node that tells this one's data centre the news of the store.
	 * @param now the present time
	 * @return its name, maybe this node's; none while each node reads for itself
	 */
	Optional<String> teller(Instant now) {
		if (fed(now) && this.source.near) {
			return Optional.of(this.source.node);
		}
		return (passesOn(now) || reads(now)) ? Optional.of(this.self) : Optional.empty();
	}

	/**
	 * The node whose news this one goes by.
	 * @param now the present time
	 * @return its name; this node's own name while it reads for itself
	 */
	String source(Instant now) {
		return fed(now) ? this.source.node : this.self;
	}

	/**
	 * Notes the configuration in force.
	 * @param version its version
	 */
	void inForce(long version) {
		this.configurationVersion = version;
	}

	/**
	 * Notes that the store answered a call for the configuration.
	 * @param now the present time
	 */
	void configurationAnswered(Instant now) {
		this.configurationReadAt = now;
	}

	/**
	 * Notes that all targets were read. What changed since the last read is not known.
	 * @param at the revision of the list
	 * @param now the present time
	 */
	void listed(long at, Instant now) {
		this.revision = at;
		this.changedAt = at;
		this.targetsReadAt = now;
	}

	/**
	 * Notes changes that this node has read.
	 * @param page what was read
	 * @param now the present time
	 * @return what to tell the others; without changes it says only how far this node has
	 * come
	 */
	NodeMessage.StoreNews read(Page page, Instant now) {
		this.revision = page.revision();
		this.targetsReadAt = now;
		if (page.changes().isEmpty()) {
			return progress(now);
		}
		long before = this.changedAt;
		this.changedAt = page.revision();
		return news(before, page.since(), page.changes(), now);
	}

	private NodeMessage.StoreNews news(long changedBefore, long since, List<TargetChange> changes, Instant now) {
		return new NodeMessage.StoreNews(this.self, this.dataCentre, this.configurationVersion, changedBefore, since,
				this.revision, changes, Optional.empty(), age(now));
	}

	private Duration age(Instant now) {
		Instant older = this.targetsReadAt.isBefore(this.configurationReadAt) ? this.targetsReadAt
				: this.configurationReadAt;
		return (older != Instant.MIN) ? Duration.between(older, now) : OWN_READ_VALID;
	}

	/** Notes that the store did not answer this node: it has nothing to tell. */
	void failed() {
		this.targetsReadAt = Instant.MIN;
	}

	/**
	 * Whether this node reads for others. They rest from calls of both kinds, so a call
	 * that hangs must keep it from telling, though the other kind is answered.
	 * @param now the present time
	 * @return true if nobody reads for this node and the store answers both its calls
	 */
	boolean reads(Instant now) {
		return !fed(now) && valid(this.targetsReadAt, now) && valid(this.configurationReadAt, now);
	}

	private static boolean valid(Instant readAt, Instant now) {
		return readAt != Instant.MIN && now.isBefore(readAt.plus(OWN_READ_VALID));
	}

	boolean newsDue(Instant now) {
		return reads(now) && !now.isBefore(this.toldAt.plus(NEWS_EVERY));
	}

	/**
	 * What the others are told while nothing changes.
	 * @param now the present time
	 * @return how far this node has come
	 */
	NodeMessage.StoreNews progress(Instant now) {
		return news(this.changedAt, this.revision, List.of(), now);
	}

	void told(Instant now) {
		this.toldAt = now;
	}

	/**
	 * Takes what another node has read.
	 * @param news what it told
	 * @param now the present time
	 * @return what follows from it
	 */
	Consequence heard(NodeMessage.StoreNews news, Instant now) {
		boolean near = news.dataCentre().equals(this.dataCentre);
		if (!goesBy(news.sender(), near, now)) {
			return Consequence.NOTHING;
		}
		this.source = new Source(news.sender(), near, now.minus(news.age()));
		boolean configuration = news.configurationVersion() > this.configurationVersion;
		if (this.revision < 0) {
			return new Consequence(true, configuration, false, false, Optional.empty());
		}
		boolean nothingMissed = this.revision >= news.changedBefore();
		boolean partlyRead = this.revision > news.since() && this.revision < news.revision();
		if (!nothingMissed || partlyRead) {
			return new Consequence(true, configuration, true, false, Optional.empty());
		}
		boolean apply = this.revision < news.revision() && !news.changes().isEmpty();
		follow(news);
		Optional<NodeMessage.StoreNews> passedOn = near ? Optional.empty()
				: Optional.of(news.from(this.self, this.dataCentre));
		return new Consequence(true, configuration, false, apply, passedOn);
	}

	// A node that takes over reading tells what changed last before it did. If it told
	// too low a revision, a node that missed that change would take it as known, and go
	// on giving work to a target that has left.
	private void follow(NodeMessage.StoreNews news) {
		if (this.revision < news.revision()) {
			this.revision = news.revision();
		}
		long changed = news.changes().isEmpty() ? news.changedBefore() : news.revision();
		this.changedAt = Math.max(this.changedAt, changed);
	}

	// Of several nodes that read, the one that goes before the others reads on. The own
	// data centre goes before others, so that one node of each hears them. A node that
	// the store does not answer takes news from anybody.
	private boolean goesBy(String sender, boolean near, Instant now) {
		if (!fed(now)) {
			return !reads(now) || this.goesBefore.test(sender, this.self);
		}
		if (near != this.source.near) {
			return near && this.goesBefore.test(sender, this.self);
		}
		return sender.equals(this.source.node) || this.goesBefore.test(sender, this.source.node);
	}

	long revision() {
		return this.revision;
	}

	/**
	 * The node that reads for this one.
	 *
	 * @param node its name
	 * @param near whether it is of the same data centre
	 * @param answeredAt when the store answered what it told last
	 */
	private record Source(String node, boolean near, Instant answeredAt) {

		private Instant validUntil() {
			return this.answeredAt.plus(this.near ? NEAR_NEWS_VALID : FAR_NEWS_VALID);
		}

	}

	/**
	 * Changes of targets as they were read.
	 *
	 * @param since the revision after which they were asked for
	 * @param revision the revision that they lead to
	 * @param changes the changes in their order
	 */
	record Page(long since, long revision, List<TargetChange> changes) {
	}

	/**
	 * What follows from another node's news.
	 *
	 * @param fed whether this node goes by it
	 * @param readConfiguration whether there is a newer configuration to be read
	 * @param readTargets whether changes were missed and must be read
	 * @param apply whether the changes told are the next ones
	 * @param passOn what the other nodes of the data centre are told
	 */
	record Consequence(boolean fed, boolean readConfiguration, boolean readTargets, boolean apply,
			Optional<NodeMessage.StoreNews> passOn) {

		private static final Consequence NOTHING = new Consequence(false, false, false, false, Optional.empty());

	}

}
