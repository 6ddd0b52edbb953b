package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;

/**
 * Sends the text of each configuration to the nodes that follow this one, which saves
 * each of them a call to the store for each version.
 */
final class ConfigurationDistribution {

	/**
	 * How long to wait for the text of an announced version. Both are sent at the same
	 * time.
	 */
	private static final Duration TEXT_TIMEOUT = Duration.ofMillis(200);

	/**
	 * A version that took effect longer ago has reached the other nodes in other ways.
	 */
	private static final Duration MAXIMUM_SEND_DELAY = Duration.ofSeconds(1);

	private final String self;

	private final PeerNodes peers;

	private final StoreRelay relay;

	private long awaitedVersion;

	private Instant awaitedSince = Instant.MIN;

	private Instant behindSince = Instant.MAX;

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
	 * Sends a version that took effect here to the nodes that receive store updates from
	 * this one. If there are none yet, the version stays pending.
	 * @param version the version
	 * @param now the current time
	 * @param effects receives the resulting effects
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
	 * Sends the pending version, which took effect here just before the other nodes began
	 * to receive store updates from this one.
	 * @param now the current time
	 * @param effects receives the resulting effects
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
	 * Records that an update announced a version that is not in effect here. If its text
	 * has not arrived when it is announced again, the text is read from the store.
	 * @param version the version
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void awaitText(long version, Instant now, Effects effects) {
		if (this.behindSince == Instant.MAX) {
			this.behindSince = now;
		}
		if (version != this.awaitedVersion) {
			this.awaitedVersion = version;
			this.awaitedSince = now;
		}
		else if (!now.isBefore(this.awaitedSince.plus(TEXT_TIMEOUT))) {
			effects.log(LogEvent.CONFIGURATION_TEXT_MISSING,
					"version=" + version + " late-millis=" + timeBehind(now).toMillis());
			effects.add(new EntryEffect.ReadConfiguration(version));
		}
	}

	/**
	 * Returns for how long a newer version than the one in effect has been announced.
	 * @param now the current time
	 * @return the time; zero while no newer version is known
	 */
	Duration timeBehind(Instant now) {
		return (this.behindSince == Instant.MAX) ? Duration.ZERO : Duration.between(this.behindSince, now);
	}

	/** Records that an announced version, or a later one, took effect. */
	void recordApplied() {
		this.behindSince = Instant.MAX;
	}

}
