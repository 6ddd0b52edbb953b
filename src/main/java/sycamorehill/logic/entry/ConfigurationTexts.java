package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.serving.EntryEffect;

/**
 * Has the text of each configuration told to the nodes that are read for, which spares
 * each of them a call to the store for each version.
 */
final class ConfigurationTexts {

	/** Time from the news of a version to its text, which is sent at the same time. */
	private static final Duration TOLD_WITHIN = Duration.ofMillis(200);

	/** A version that is older than this has reached the others by other ways. */
	private static final Duration NEW_FOR = Duration.ofSeconds(1);

	private final String self;

	private final Neighbours neighbours;

	private final StoreRelay relay;

	private long awaited;

	private Instant awaitedSince = Instant.MIN;

	private long untold;

	private Instant untoldSince = Instant.MIN;

	private ConfigurationTexts(String self, Neighbours neighbours, StoreRelay relay) {
		this.self = self;
		this.neighbours = neighbours;
		this.relay = relay;
	}

	static ConfigurationTexts of(String self, Neighbours neighbours, StoreRelay relay) {
		return new ConfigurationTexts(self, neighbours, relay);
	}

	/**
	 * Tells a version that has come into force here to the nodes that hear the news of
	 * the store from this one.
	 * @param version the version
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void tell(long version, Instant now, Effects effects) {
		if (!tells(now)) {
			this.untold = version;
			this.untoldSince = now;
			return;
		}
		this.untold = 0;
		List<Address> nodes = new ArrayList<>(this.neighbours.near());
		if (this.relay.reads(now)) {
			nodes.addAll(this.neighbours.relays(now));
		}
		if (!nodes.isEmpty()) {
			effects.add(new EntryEffect.TellConfiguration(nodes, version));
		}
	}

	/**
	 * Tells a version that came into force here just before the others began to hear the
	 * news of the store from this node.
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void look(Instant now, Effects effects) {
		if (this.untold == 0) {
			return;
		}
		if (!now.isBefore(this.untoldSince.plus(NEW_FOR))) {
			this.untold = 0;
		}
		else if (tells(now)) {
			tell(this.untold, now, effects);
		}
	}

	private boolean tells(Instant now) {
		return this.relay.teller(now).filter(this.self::equals).isPresent();
	}

	/**
	 * Notes news of a version that is not in force here. A text that has not come when
	 * they are told again is read in the store.
	 * @param version the version
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void await(long version, Instant now, Effects effects) {
		if (version != this.awaited) {
			this.awaited = version;
			this.awaitedSince = now;
		}
		else if (!now.isBefore(this.awaitedSince.plus(TOLD_WITHIN))) {
			effects.add(new EntryEffect.ReadConfiguration(version));
		}
	}

}
