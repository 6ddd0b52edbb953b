package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.EntrySettings;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.Workspace;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests forty nodes in two data centres, whose messages all arrive at once unless a node
 * is down or messages are lost on purpose. All nodes of the north take precedence over
 * those of the south.
 */
class ManyNodesTests {

	private static final int NODES = 40;

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration STEP = Duration.ofMillis(10);

	/** A call waits half a second in the store. */
	private static final Duration READ_INTERVAL = Duration.ofMillis(510);

	private static final long FIRST_REVISION = 100;

	/**
	 * Time in which a leaving notice of a target, or a change of the configuration, must
	 * take effect.
	 */
	private static final Duration MAXIMUM_CHANGE_DELAY = Duration.ofSeconds(2);

	/** Maximum time from the selection of a target until the request reaches it. */
	private static final Duration MAXIMUM_CONNECT_TIME = Duration.ofMillis(300);

	/** Time between two versions of a series; updates are sent less often. */
	private static final Duration VERSION_INTERVAL = Duration.ofMillis(160);

	private static final TargetName TARGET = TargetName.of("p1");

	private final Map<String, EntryReducer> nodes = new LinkedHashMap<>();

	private final Map<Address, String> names = new HashMap<>();

	private final Set<String> down = new HashSet<>();

	private final Map<String, List<NodeMessage>> receivedMessages = new HashMap<>();

	private Instant now = Instant.ofEpochSecond(1000);

	private long revision = FIRST_REVISION;

	private final Random random = new Random(5);

	private double lossShare;

	private boolean storeAnswers = true;

	private int configurationsRead;

	/** When the store answers the pending calls of the nodes that read. */
	private final Map<String, Instant> nextReads = new HashMap<>();

	private final Map<String, Long> revisionsRead = new HashMap<>();

	private final List<TargetChange> newChanges = new ArrayList<>();

	private long newestConfiguration = 1;

	/** Nodes that have logged the leaving notice of a target. */
	private final Set<String> notifiedNodes = new HashSet<>();

	private final Set<String> targetsUnanswered = new HashSet<>();

	private final Set<String> configurationsUnanswered = new HashSet<>();

	/** Nodes to which no text of a configuration is delivered. */
	private final Set<String> textsLost = new HashSet<>();

	/** Nodes to which no changes of targets are delivered. */
	private final Set<String> changesLost = new HashSet<>();

	/** Nodes whose calls the store refuses. */
	private final Set<String> refused = new HashSet<>();

	ManyNodesTests() {
		for (int number = 0; number < NODES; number++) {
			EntrySettings settings = settings(number);
			this.names.put(settings.peerAddress(), settings.nodeName());
			this.nodes.put(settings.nodeName(),
					EntryReducer.of(settings, settings.nodeName() + "#1", new Random(number), this.now));
		}
		this.nodes.keySet().forEach((node) -> {
			accept(node, new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1));
			accept(node, new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1")), this.revision));
			accept(node, new EntryEvent.NodesListed(
					IntStream.range(0, NODES).mapToObj((each) -> settings(each).toNodeRecord()).toList()));
		});
	}

	private static EntrySettings settings(int number) {
		return ServingSamples.settings(number, (number < NODES / 2) ? "north" : "south");
	}

	private List<EntryEffect> accept(String node, EntryEvent event) {
		List<EntryEffect> effects = this.nodes.get(node).accept(event, this.now);
		for (EntryEffect effect : effects) {
			if (effect instanceof EntryEffect.Send send) {
				send.nodes()
					.stream()
					.map(this.names::get)
					.filter((to) -> isDelivered(send.message(), to))
					.forEach((to) -> {
						this.receivedMessages.computeIfAbsent(to, (name) -> new ArrayList<>()).add(send.message());
						accept(to, new EntryEvent.MessageReceived(send.message()));
					});
			}
		}
		handleConfigurationEffects(node, effects);
		for (EntryEffect effect : effects) {
			if (effect instanceof EntryEffect.AdvanceTargetRevision known) {
				this.revisionsRead.merge(node, known.revision(), Math::max);
			}
			else if (effect instanceof EntryEffect.ReadTargetChanges) {
				readTargets(node);
			}
			else if (effect instanceof EntryEffect.Log log && log.line().event() == LogEvent.TARGET_NOTICE) {
				this.notifiedNodes.add(node);
			}
		}
		return effects;
	}

	private boolean isDelivered(NodeMessage message, String node) {
		boolean lost = (message instanceof NodeMessage.ConfigurationText && this.textsLost.contains(node))
				|| (message instanceof NodeMessage.StoreUpdate update && !update.changes().isEmpty()
						&& this.changesLost.contains(node));
		return !lost && !this.down.contains(node) && this.random.nextDouble() >= this.lossShare;
	}

	// The text of a configuration is its version number here.
	private void handleConfigurationEffects(String node, List<EntryEffect> effects) {
		for (EntryEffect effect : effects) {
			if (effect instanceof EntryEffect.SendConfiguration send) {
				NodeMessage text = new NodeMessage.ConfigurationText(node, send.version(), "" + send.version());
				send.nodes()
					.stream()
					.map(this.names::get)
					.filter((to) -> isDelivered(text, to))
					.forEach((to) -> accept(to, new EntryEvent.MessageReceived(text)));
			}
			else if (effect instanceof EntryEffect.ParseConfiguration take) {
				accept(node, new EntryEvent.ConfigurationReceived(
						ServingSamples.configuration(Long.parseLong(take.text())), take.sender()));
			}
			else if (effect instanceof EntryEffect.ReadConfiguration && !this.refused.contains(node)) {
				this.configurationsRead++;
				accept(node, new EntryEvent.ConfigurationRead(ServingSamples.configuration(this.newestConfiguration),
						this.revision));
			}
		}
	}

	// Nodes tick at different moments, and begin to read then if they follow no reader.
	// The store answers a call when something is new, or after its wait.
	private void run(Duration time) {
		for (Instant end = this.now.plus(time); this.now.isBefore(end); this.now = this.now.plus(STEP)) {
			int number = 0;
			for (String node : this.nodes.keySet()) {
				long phase = STEP.toMillis() * number++;
				if (this.down.contains(node)) {
					continue;
				}
				if ((this.now.toEpochMilli() - phase) % TICK.toMillis() == 0) {
					accept(node, new EntryEvent.Ticked());
					startOrStopReading(node);
				}
				if (this.nextReads.containsKey(node)) {
					read(node);
				}
			}
		}
	}

	private void startOrStopReading(String node) {
		if (this.nodes.get(node).reliesOnReader(this.now)) {
			this.nextReads.remove(node);
		}
		else {
			this.nextReads.putIfAbsent(node, this.now);
		}
	}

	private void read(String node) {
		boolean due = !this.now.isBefore(this.nextReads.get(node));
		if (due) {
			this.nextReads.put(node, this.now.plus(READ_INTERVAL));
		}
		boolean configurationChanged = this.nodes.get(node).configurationVersion() < this.newestConfiguration;
		if (isAnswered(node) && !this.configurationsUnanswered.contains(node) && (due || configurationChanged)) {
			accept(node, new EntryEvent.ConfigurationRead(ServingSamples.configuration(this.newestConfiguration),
					this.revision));
		}
		boolean changed = this.revisionsRead.getOrDefault(node, FIRST_REVISION) < this.revision;
		if (!this.targetsUnanswered.contains(node) && (due || changed)) {
			readTargets(node);
		}
	}

	private boolean isAnswered(String node) {
		return this.storeAnswers && !this.refused.contains(node);
	}

	private void readTargets(String node) {
		if (!isAnswered(node)) {
			accept(node, new EntryEvent.DirectoryUnreachable());
			return;
		}
		long since = this.revisionsRead.getOrDefault(node, FIRST_REVISION);
		this.revisionsRead.put(node, this.revision);
		List<TargetChange> changes = (since < this.revision) ? List.copyOf(this.newChanges) : List.of();
		accept(node, new EntryEvent.TargetsChanged(changes, since, this.revision));
	}

	private List<LoadSum> receivedSums(String node) {
		List<LoadSum> sums = new ArrayList<>();
		for (NodeMessage message : this.receivedMessages.getOrDefault(node, List.of())) {
			if (message instanceof NodeMessage.SummedLoads added) {
				sums.addAll(added.sums());
			}
		}
		return sums;
	}

	// Each message wakes a node up, which costs the same for a sum of twenty nodes as for
	// the loads of one. If all nodes sent their loads to each other, each of forty nodes
	// would receive thirty messages a second and more.
	@Test
	void aNodeReceivesFewLoadMessagesInALargeCluster() {
		run(Duration.ofSeconds(15));
		this.receivedMessages.clear();
		run(Duration.ofSeconds(10));
		for (String node : List.of("north-105", "south-139")) {
			assertThat(this.receivedMessages.get(node)).noneMatch(NodeMessage.Loads.class::isInstance)
				.filteredOn(NodeMessage.SummedLoads.class::isInstance)
				.hasSizeBetween(15, 25);
		}
	}

	// A node that received its own requests as those of others would count them twice,
	// and avoid the targets that it uses.
	@Test
	void aNodeReceivesTheRequestsOfAllOthersButNotItsOwn() {
		run(Duration.ofSeconds(5));
		accept("north-107", new EntryEvent.RequestArrived(ServingSamples.request(1, "/again/x")));
		accept("north-108", new EntryEvent.RequestArrived(ServingSamples.request(2, "/again/x")));
		run(Duration.ofSeconds(2));
		this.receivedMessages.clear();
		run(Duration.ofSeconds(2));
		assertThat(receivedSums("north-107")).anyMatch((sum) -> sum.dataCentre().value().equals("south"))
			.filteredOn((sum) -> sum.dataCentre().value().equals("north"))
			.isNotEmpty()
			.allMatch((sum) -> sum.requests().equals(Map.of(TARGET, 1)) && sum.liveNodes() == NODES / 2);
		assertThat(receivedSums("south-130")).filteredOn((sum) -> sum.dataCentre().value().equals("north"))
			.isNotEmpty()
			.allMatch((sum) -> sum.requests().equals(Map.of(TARGET, 2)));
	}

	private void adoptWorkspaces(String... names) {
		Configuration sample = ServingSamples.configuration(2);
		Map<String, Workspace> workspaces = new HashMap<>();
		for (String name : names) {
			workspaces.put(name, new Workspace(WorkspaceName.of(name), 1));
		}
		Configuration adopted = new Configuration(2, sample.routes(), sample.services(), sample.limits(), workspaces,
				true);
		this.textsLost.addAll(this.nodes.keySet());
		this.nodes.keySet().forEach((node) -> accept(node, new EntryEvent.ConfigurationRead(adopted, this.revision)));
	}

	private void request(String node, long number, String workspace) {
		CallerRequest sample = ServingSamples.request(number, "/again/x");
		accept(node,
				new EntryEvent.RequestArrived(new CallerRequest(number, sample.identifier(), sample.host(),
						sample.path(), Optional.of(workspace), sample.model(), sample.tokenCounts(),
						sample.sharedPromptParts(), sample.timeLeft(), sample.contentHash())));
	}

	private Set<WorkspaceName> workspacesUsed(String node, String dataCentre) {
		Set<WorkspaceName> names = new HashSet<>();
		receivedSums(node).stream()
			.filter((sum) -> sum.dataCentre().value().equals(dataCentre))
			.flatMap((sum) -> sum.use().models().stream())
			.forEach((use) -> names.addAll(use.byWorkspace().keySet()));
		return names;
	}

	// Callers are bound to nodes: a node knows the use of most workspaces by the others'
	// reports only.
	@Test
	void aNodeReceivesTheUseOfAllOthersButNotItsOwn() {
		adoptWorkspaces("a", "b", "c");
		run(Duration.ofSeconds(5));
		assertThat(receivedSums("north-107")).allMatch((sum) -> sum.use().equals(UseReport.NONE));
		request("north-107", 1, "a");
		request("north-108", 2, "b");
		request("south-130", 3, "c");
		run(Duration.ofSeconds(2));
		this.receivedMessages.clear();
		run(Duration.ofSeconds(2));
		assertThat(workspacesUsed("north-107", "north")).containsExactly(WorkspaceName.of("b"));
		assertThat(workspacesUsed("north-107", "south")).containsExactly(WorkspaceName.of("c"));
		assertThat(workspacesUsed("south-130", "north")).containsExactlyInAnyOrder(WorkspaceName.of("a"),
				WorkspaceName.of("b"));
		assertThat(workspacesUsed("south-130", "south")).isEmpty();
	}

	@Test
	void aConfigurationWithOneWorkspaceAddsNothingToTheMessages() {
		request("north-108", 1, "key");
		run(Duration.ofSeconds(5));
		assertThat(receivedSums("north-107")).isNotEmpty().allMatch((sum) -> sum.use().equals(UseReport.NONE));
	}

	// The retry budget is divided among the live nodes. Nodes that no longer receive
	// messages from each other must not consider each other as failed.
	@Test
	void allNodesCountAsLiveThoughFewSendDirectly() {
		run(Duration.ofSeconds(40));
		assertThat(this.nodes.values()).allMatch((node) -> node.liveNodes() == NODES);
	}

	// The aggregator loses power. Until another node distributes the store updates, nodes
	// select targets without knowing the load that others put on them.
	@Test
	void anotherNodeAggregatesSoonAfterTheFirstFails() {
		run(Duration.ofSeconds(5));
		this.down.add("north-100");
		run(Duration.ofSeconds(3));
		this.receivedMessages.clear();
		run(Duration.ofSeconds(2));
		for (String node : List.of("north-105", "south-139")) {
			assertThat(receivedSums(node)).extracting((sum) -> sum.dataCentre().value()).contains("north", "south");
			assertThat(receivedSums(node)).noneMatch((sum) -> sum.aggregator().equals("north-100"));
		}
	}

	// The store answers no node, so there are no updates and no known aggregator. Nodes
	// then send their loads directly, and know that the store is unreachable for all.
	@Test
	void nodesSendLoadsDirectlyWhileTheStoreIsUnreachable() {
		run(Duration.ofSeconds(5));
		this.storeAnswers = false;
		run(Duration.ofSeconds(5));
		this.receivedMessages.clear();
		run(Duration.ofSeconds(3));
		assertThat(this.receivedMessages.get("south-139")).filteredOn(NodeMessage.Loads.class::isInstance)
			.extracting(NodeMessage::sender)
			.contains("north-101", "south-121")
			.hasSizeGreaterThan(NODES);
	}

	// An operator changes the configuration. If each node read it, the store would
	// receive 40 calls at once for each version. The reader sends it to its data centre
	// and to the other one.
	@Test
	void aConfigurationTakesEffectEverywhereWithOneRead() {
		run(Duration.ofSeconds(15));
		accept("north-100", new EntryEvent.ConfigurationRead(ServingSamples.configuration(7), 1));
		assertThat(this.nodes.values()).allMatch((node) -> node.configurationVersion() == 7);
		run(Duration.ofSeconds(2));
		assertThat(this.configurationsRead).isZero();
	}

	// The store stops answering the reader just before a target announces its leaving.
	// The other nodes must learn of it in time, or the target receives new requests.
	@ParameterizedTest
	@ValueSource(
			ints = { 5010, 5410, 5510, 5910, 6010, 6410, 6510, 6910, 7010, 7410, 7510, 7910, 8010, 8410, 8510, 8910 })
	void aLeavingTargetReceivesNoRequestsWhenTheStoreStopsAnsweringTheReader(int silentAfterMillis) {
		run(Duration.ofMillis(silentAfterMillis));
		this.targetsUnanswered.add("north-100");
		announceLeaving(ServingSamples.plain("p1"));
		run(MAXIMUM_CHANGE_DELAY.minus(MAXIMUM_CONNECT_TIME));
		assertThat(this.notifiedNodes).containsAll(
				this.nodes.keySet().stream().filter((node) -> !this.targetsUnanswered.contains(node)).toList());
	}

	@ParameterizedTest
	@ValueSource(ints = { 5010, 5310, 5610, 5910, 6210, 6510 })
	void aLeavingTargetReceivesNoRequestsWhenMessagesAreAlsoLost(int silentAfterMillis) {
		run(Duration.ofMillis(silentAfterMillis));
		this.targetsUnanswered.add("north-100");
		this.lossShare = 0.2;
		announceLeaving(ServingSamples.plain("p1"));
		run(MAXIMUM_CHANGE_DELAY.minus(MAXIMUM_CONNECT_TIME));
		assertThat(this.notifiedNodes).containsAll(
				this.nodes.keySet().stream().filter((node) -> !this.targetsUnanswered.contains(node)).toList());
	}

	// The reader's call for configurations hangs, while it keeps reading targets.
	@Test
	void aConfigurationTakesEffectThoughTheReadersCallForItHangs() {
		run(Duration.ofSeconds(5));
		this.configurationsUnanswered.add("north-100");
		this.newestConfiguration = 7;
		run(MAXIMUM_CHANGE_DELAY.minus(TICK));
		this.nodes.forEach((name, node) -> assertThat(node.configurationVersion()).as(name).isEqualTo(7));
		assertThat(this.configurationsRead).as("the next reader tells the text").isZero();
	}

	// One message in five is lost, and the reader's call for configurations hangs.
	@ParameterizedTest
	@ValueSource(ints = { 5000, 5130, 5260, 5390, 5520, 5650, 5780, 5910, 6040, 6170, 6300 })
	void aConfigurationTakesEffectInTimeThoughMessagesAreLost(int storedAfterMillis) {
		run(Duration.ofMillis(storedAfterMillis));
		this.configurationsUnanswered.add("north-100");
		this.lossShare = 0.2;
		this.newestConfiguration = 7;
		run(MAXIMUM_CHANGE_DELAY);
		this.nodes.forEach((name, node) -> assertThat(node.configurationVersion()).as(name).isEqualTo(7));
	}

	// A node that waits anew for the text of each newer version never reads the store.
	@Test
	void aNodeWhoseTextsAreLostKeepsUpWithASeriesOfVersions() {
		run(Duration.ofSeconds(5));
		this.textsLost.add("south-139");
		runSeriesOfVersions("south-139");
	}

	// The store refuses a node that has lost a text: only another node can send it again.
	@Test
	void aNodeThatTheStoreRefusesReceivesALostText() {
		run(Duration.ofSeconds(5));
		this.refused.add("south-139");
		this.textsLost.add("south-139");
		this.newestConfiguration = 7;
		run(TICK);
		this.textsLost.clear();
		run(MAXIMUM_CHANGE_DELAY.minus(TICK));
		assertThat(this.nodes.get("south-139").configurationVersion()).isEqualTo(7);
	}

	// The store refuses a node that has lost a change: it would send requests to a target
	// that has left.
	@Test
	void aNodeThatTheStoreRefusesReceivesALostChange() {
		run(Duration.ofSeconds(5));
		this.refused.add("south-139");
		this.changesLost.add("south-139");
		announceLeaving(ServingSamples.plain("p1"));
		run(TICK);
		this.changesLost.clear();
		run(MAXIMUM_CHANGE_DELAY.minus(MAXIMUM_CONNECT_TIME).minus(TICK));
		assertThat(this.notifiedNodes).containsAll(this.nodes.keySet());
	}

	private void runSeriesOfVersions(String node) {
		Map<Long, Instant> storedAt = new LinkedHashMap<>();
		for (long version = 2; version <= 30; version++) {
			this.newestConfiguration = version;
			storedAt.put(version, this.now);
			run(VERSION_INTERVAL);
			long due = storedAt.entrySet()
				.stream()
				.filter((stored) -> !this.now.isBefore(stored.getValue().plus(MAXIMUM_CHANGE_DELAY)))
				.mapToLong(Map.Entry::getKey)
				.max()
				.orElse(0);
			assertThat(this.nodes.get(node).configurationVersion()).isGreaterThanOrEqualTo(due);
		}
	}

	// A weak node that the store answered first after an outage would send all texts of
	// its data centre over its small link.
	@Test
	void theNodeThatTakesPrecedenceReadsAgainAfterAnOutage() {
		run(Duration.ofSeconds(5));
		this.storeAnswers = false;
		run(Duration.ofSeconds(3));
		this.storeAnswers = true;
		this.refused.addAll(this.nodes.keySet());
		this.refused.remove("south-139");
		run(Duration.ofSeconds(1));
		this.refused.clear();
		run(Duration.ofSeconds(2));
		assertThat(this.nodes.entrySet()).filteredOn((node) -> !node.getValue().reliesOnReader(this.now))
			.extracting(Map.Entry::getKey)
			.containsExactly("north-100");
	}

	private void announceLeaving(TargetEntry target) {
		this.newChanges.add(new TargetChange(target.name(), Optional.of(target.asLeaving())));
		this.revision++;
	}

}
