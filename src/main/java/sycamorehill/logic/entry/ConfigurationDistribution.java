package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.logic.Effects;
import sycamorehill.model.identity.Address;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;

/**
 * Sends the text of each configuration to the nodes that follow this one, which saves
 * each of them a call to the store for each version.
 */
final class ConfigurationDistribution {

	/**
	 * How long to wait for the text of an announced version, and between two requests for
	 * it. Announcement and text are sent at the same time.
	 */
	private static final Duration TEXT_TIMEOUT = Duration.ofMillis(200);

	/**
	 * A version that took effect longer ago has reached the other nodes in other ways.
	 */
	private static final Duration MAXIMUM_SEND_DELAY = Duration.ofSeconds(1);

	private final String self;

	private final PeerNodes peers;

	private final StoreRelay relay;

	/** The newest version that was announced and is not in effect here. */
	private Optional<MissingVersion> missing = Optional.empty();

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
	 * Records that an update announced a version that is not in effect here. Its text may
	 * still be in transit.
	 * @param version the version
	 * @param now the current time
	 */
	void recordAnnounced(long version, Instant now) {
		this.missing = Optional
			.of(this.missing.map((known) -> known.announced(version)).orElseGet(() -> MissingVersion.of(version, now)));
	}

	/**
	 * Requests the text of an announced version that has not arrived in time: first from
	 * the node that announced it, then also from the store, which may refuse this node.
	 * In a series of versions, each announcement names another one: the time is counted
	 * from the first version that is missing, or a node whose texts are lost would wait
	 * until the series ends. A node without a reader reads for itself in any case.
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	void requestMissing(Instant now, Effects effects) {
		if (!this.relay.receivesStoreUpdates(now)) {
			this.missing = Optional.empty();
		}
		this.missing.filter((version) -> !now.isBefore(version.nextRequestAt())).ifPresent((version) -> {
			effects.log(LogEvent.CONFIGURATION_TEXT_MISSING,
					"version=" + version.version() + " late-millis=" + timeBehind(now).toMillis());
			this.peers.sendTo(this.relay.source(now),
					new NodeMessage.ConfigurationRequest(this.self, version.version()), effects);
			if (version.requested()) {
				effects.add(new EntryEffect.ReadConfiguration());
			}
			this.missing = Optional.of(version.requestedUntil(now.plus(TEXT_TIMEOUT)));
		});
	}

	/**
	 * Sends the text of the configuration in effect to a node that has not received it.
	 * @param wanted the node's request
	 * @param version version of the configuration in effect
	 * @param effects receives the resulting effects
	 */
	void sendAgain(NodeMessage.ConfigurationRequest wanted, long version, Effects effects) {
		if (version >= wanted.version()) {
			this.peers.address(wanted.sender())
				.ifPresent((address) -> effects.add(new EntryEffect.SendConfiguration(List.of(address), version)));
		}
	}

	/**
	 * Returns for how long a newer version than the one in effect has been announced.
	 * @param now the current time
	 * @return the time; zero while no newer version is known
	 */
	Duration timeBehind(Instant now) {
		return this.missing.map((version) -> Duration.between(version.since(), now)).orElse(Duration.ZERO);
	}

	/**
	 * Records that a version took effect here. A newer one that was announced meanwhile
	 * is awaited from now on.
	 * @param applied the version
	 * @param now the current time
	 */
	void recordApplied(long applied, Instant now) {
		this.missing = this.missing.filter((version) -> version.version() > applied)
			.map((version) -> MissingVersion.of(version.version(), now));
	}

	/**
	 * An announced version that is not in effect.
	 *
	 * @param version the newest version that was announced
	 * @param since when the first version that is missing was announced
	 * @param nextRequestAt when the version is requested next
	 * @param requested whether it has been requested before
	 */
	private record MissingVersion(long version, Instant since, Instant nextRequestAt, boolean requested) {

		private static MissingVersion of(long version, Instant since) {
			return new MissingVersion(version, since, since.plus(TEXT_TIMEOUT), false);
		}

		private MissingVersion announced(long announcedVersion) {
			return new MissingVersion(Math.max(this.version, announcedVersion), this.since, this.nextRequestAt,
					this.requested);
		}

		private MissingVersion requestedUntil(Instant nextRequest) {
			return new MissingVersion(this.version, this.since, nextRequest, true);
		}

	}

}
