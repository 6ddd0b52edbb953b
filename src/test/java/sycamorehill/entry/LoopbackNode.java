package sycamorehill.entry;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.StoredConfiguration;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.platform.PlatformTestCodec;
import sycamorehill.support.TwoRegions;

/**
 * An entry node over loopback in the region "east", with targets that nobody plays.
 */
public final class LoopbackNode implements AutoCloseable {

	private static final int STOP_SECONDS = 10;

	private final EntrySettings settings;

	private final EntryNode node;

	private LoopbackNode(EntrySettings settings, EntryNode node) {
		this.settings = settings;
		this.node = node;
	}

	/**
	 * Starts a node.
	 * @param configuration its configuration
	 * @param targets its targets
	 * @return the node
	 * @throws Exception if it doesn't start
	 */
	public static LoopbackNode start(Configuration configuration, TargetEntry... targets) throws Exception {
		List<Address> free = FreePorts.find(5);
		EntrySettings settings = new EntrySettings("one", DataCentreName.of(TwoRegions.NORTH),
				List.of(DataCentreName.of(TwoRegions.NORTH)), 0.75, 4200, free.get(0), free.get(1), free.get(2),
				free.get(4), free.get(3), true, Duration.ofSeconds(1), Duration.ofMillis(100), 0.2, 60,
				Duration.ofSeconds(5), Duration.ofSeconds(5))
			.withRegions(TwoRegions.REGIONS);
		List<TargetChange> entries = List.of(targets)
			.stream()
			.map((entry) -> new TargetChange(entry.name(), Optional.of(entry)))
			.toList();
		EntryPorts ports = new EntryPorts(PlatformTestCodec.create(),
				FakePorts.FixedFeed.of(new StoredConfiguration(configuration, "")),
				(text) -> new StoredConfiguration(configuration, text), new FakePorts.FixedFeed<>(entries),
				FakePorts.registry(), new FakePorts.UnavailableLeaseStore(), new FakePorts.UnreachableEngines());
		return new LoopbackNode(settings,
				EntryNode.start(settings, (client) -> ports, Clock.systemUTC(), new Random(1)));
	}

	/**
	 * Returns where the node serves its pages.
	 * @return its message address
	 */
	public Address pageAddress() {
		return this.settings.peerAddress();
	}

	@Override
	public void close() throws Exception {
		this.node.stop();
		this.node.whenStopped().get(STOP_SECONDS, TimeUnit.SECONDS);
	}

}
