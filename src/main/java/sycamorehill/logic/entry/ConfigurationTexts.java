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

	private final String self;

	private final Neighbours neighbours;

	private final StoreRelay relay;

	private long awaited;

	private Instant awaitedSince = Instant.MIN;

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
		if (this.relay.teller(now).filter(this.self::equals).isEmpty()) {
			return;
		}
		List<Address> nodes = new ArrayList<>(this.neighbours.near());
		if (this.relay.reads(now)) {
			nodes.addAll(this.neighbours.relays(now));
		}
		if (!nodes.isEmpty()) {
			effects.add(new EntryEffect.TellConfiguration(nodes, version));
		}
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
