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
final class ConfigurationDistribution {

	/** Time from the news of a version to its text, which is sent at the same time. */
	private static final Duration TEXT_TIMEOUT = Duration.ofMillis(200);

	/** A version that is older than this has reached the others by other ways. */
	private static final Duration MAXIMUM_SEND_DELAY = Duration.ofSeconds(1);

	private final String self;

	private final PeerNodes peers;

	private final StoreRelay relay;

	private long awaitedVersion;

	private Instant awaitedSince = Instant.MIN;

	private long unsentVersion;

	private Instant unsentSince = Instant.MIN;

	private ConfigurationDistribution(String self, PeerNodes peers, StoreRelay relay) {
		this.self = self;
		this.peers = peers;
		this.relay = relay;
	}

	static ConfigurationDistribution of(String self, PeerNodes peers, StoreRelay relay) {
		return new ConfigurationDistribution(self, peers, relay);
	}

	/**
	 * Tells a version that has come into force here to the nodes that hear the news of
	 * the store from this one.
	 * @param version the version
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void send(long version, Instant now, Effects effects) {
		if (!isDistributor(now)) {
			this.unsentVersion = version;
			this.unsentSince = now;
			return;
		}
		this.unsentVersion = 0;
		List<Address> nodes = new ArrayList<>(this.peers.localAddresses());
		if (this.relay.isReader(now)) {
			nodes.addAll(this.peers.relayAddresses(now));
		}
		if (!nodes.isEmpty()) {
			effects.add(new EntryEffect.SendConfiguration(nodes, version));
		}
	}

	/**
	 * Tells a version that came into force here just before the others began to hear the
	 * news of the store from this node.
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void sendPending(Instant now, Effects effects) {
		if (this.unsentVersion == 0) {
			return;
		}
		if (!now.isBefore(this.unsentSince.plus(MAXIMUM_SEND_DELAY))) {
			this.unsentVersion = 0;
		}
		else if (isDistributor(now)) {
			send(this.unsentVersion, now, effects);
		}
	}

	private boolean isDistributor(Instant now) {
		return this.relay.distributor(now).filter(this.self::equals).isPresent();
	}

	/**
	 * Notes news of a version that is not in force here. A text that has not come when
	 * they are told again is read in the store.
	 * @param version the version
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void awaitText(long version, Instant now, Effects effects) {
		if (version != this.awaitedVersion) {
			this.awaitedVersion = version;
			this.awaitedSince = now;
		}
		else if (!now.isBefore(this.awaitedSince.plus(TEXT_TIMEOUT))) {
			effects.add(new EntryEffect.ReadConfiguration(version));
		}
	}

}
