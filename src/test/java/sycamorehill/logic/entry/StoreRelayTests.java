package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.log.LogLine;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how one node reads the store for the others. The node under test is "b", which
 * has read revision 100 itself.
 */
class StoreRelayTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final DataCentreName SOUTH = DataCentreName.of("south");

	private final Instant start = Instant.ofEpochSecond(1000);

	private EntryReducer node;

	@BeforeEach
	void setUp() {
		this.node = EntryReducer.of(ServingSamples.settings("b"), "b#1", new Random(1), this.start);
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("a", 7101), ServingSamples.node("c", 7103))), 0);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 0);
		accept(new EntryEvent.TargetsListed(List.of(ServingSamples.plain("p1")), 100), 0);
	}

	private List<EntryEffect> accept(EntryEvent event, long millis) {
		return this.node.accept(event, this.start.plusMillis(millis));
	}

	private List<EntryEffect> receive(NodeMessage.StoreUpdate update, long millis) {
		return accept(new EntryEvent.MessageReceived(update), millis);
	}

	private static NodeMessage.StoreUpdate changes(String sender, long since, long revision, String target) {
		return new NodeMessage.StoreUpdate(sender, NORTH, 5, 1, since, since, revision, List.of(change(target)),
				Optional.empty(), Duration.ZERO);
	}

	private static NodeMessage.StoreUpdate progress(String sender, long changedAt, long revision) {
		return new NodeMessage.StoreUpdate(sender, NORTH, 5, 1, changedAt, revision, revision, List.of(),
				Optional.empty(), Duration.ZERO);
	}

	// The store answers the reader at least each half second.
	private static NodeMessage.StoreUpdate agedByLongPoll(NodeMessage.StoreUpdate update) {
		return aged(update, StoreRelay.LONG_POLL_WAIT);
	}

	private static NodeMessage.StoreUpdate aged(NodeMessage.StoreUpdate update, Duration age) {
		return new NodeMessage.StoreUpdate(update.sender(), update.dataCentre(), update.configurationVersion(),
				update.configurationRevision(), update.previousChangeRevision(), update.since(), update.revision(),
				update.changes(), update.lease(), age);
	}

	private static TargetChange change(String target) {
		TargetEntry entry = ServingSamples.plain(target);
		return new TargetChange(entry.name(), Optional.of(entry));
	}

	private boolean reliesOnReader(long millis) {
		return this.node.reliesOnReader(this.start.plusMillis(millis));
	}

	private static List<NodeMessage.StoreUpdate> sentUpdates(List<EntryEffect> effects) {
		List<NodeMessage.StoreUpdate> updates = new ArrayList<>();
		for (EntryEffect effect : effects) {
			if (effect instanceof EntryEffect.Send send && send.message() instanceof NodeMessage.StoreUpdate update) {
				updates.add(aged(update, Duration.ZERO));
			}
		}
		return updates;
	}

	// If each of 70 nodes read the store, each would call it twice a second and read
	// every change. Node "a" reads for all: "b" applies each change in order and makes no
	// calls.
	@Test
	void appliesChangesFromTheReader() {
		List<EntryEffect> effects = receive(changes("a", 100, 103, "p2"), 500);
		assertThat(effects).contains(new EntryEffect.AdvanceTargetRevision(103))
			.noneMatch(EntryEffect.ReadTargetChanges.class::isInstance);
		assertThat(this.node.knownTargets()).isEqualTo(2);
		assertThat(reliesOnReader(1300)).isTrue();
		assertThat(receive(changes("a", 103, 107, "p3"), 1000)).contains(new EntryEffect.AdvanceTargetRevision(107));
		assertThat(this.node.knownTargets()).isEqualTo(3);
	}

	// The reader fails or is partitioned from the others. A leaving target must receive
	// no new requests 2 s after the store has its notice, so each node reads for itself
	// within 1 s.
	@Test
	void readsForItselfSoonAfterTheReaderFails() {
		receive(agedByLongPoll(progress("a", 100, 102)), 500);
		assertThat(reliesOnReader(1300)).isTrue();
		assertThat(reliesOnReader(1400)).isFalse();
	}

	// A datagram with a change is lost. The next update shows that there was one.
	@Test
	void readsMissedChanges() {
		receive(changes("a", 100, 103, "p2"), 500);
		assertThat(receive(changes("a", 105, 108, "p4"), 600)).contains(new EntryEffect.ReadTargetChanges(),
				new EntryEffect.AdvanceTargetRevision(103));
		assertThat(this.node.knownTargets()).isEqualTo(2);
		assertThat(receive(progress("a", 108, 110), 950)).contains(new EntryEffect.ReadTargetChanges());
		accept(new EntryEvent.TargetsChanged(List.of(change("p3"), change("p4")), 103, 110), 960);
		assertThat(receive(progress("a", 108, 112), 1300)).contains(new EntryEffect.AdvanceTargetRevision(112))
			.noneMatch(EntryEffect.ReadTargetChanges.class::isInstance);
	}

	// The revision of the store increases with other writes while no target changes, so
	// the next change follows a later revision than this node has received. No change is
	// missing: if nodes took this for a gap, each of 70 nodes would read the store in
	// vain at each change.
	@Test
	void appliesAChangeAfterRevisionsWithoutTargetChanges() {
		NodeMessage.StoreUpdate later = new NodeMessage.StoreUpdate("a", NORTH, 5, 1, 90, 140, 143,
				List.of(change("p2")), Optional.empty(), Duration.ZERO);
		assertThat(receive(later, 500)).contains(new EntryEffect.AdvanceTargetRevision(143))
			.noneMatch(EntryEffect.ReadTargetChanges.class::isInstance);
		assertThat(this.node.knownTargets()).isEqualTo(2);
	}

	// This node has itself read part of the changes in an update. If it applied them
	// again, an older entry would replace a newer one.
	@Test
	void doesNotApplyPartlyReadChanges() {
		accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 102), 400);
		assertThat(receive(changes("a", 100, 103, "p3"), 500)).contains(new EntryEffect.ReadTargetChanges());
		assertThat(this.node.knownTargets()).isEqualTo(2);
	}

	@Test
	void ignoresKnownChanges() {
		receive(changes("a", 100, 103, "p2"), 500);
		assertThat(receive(changes("a", 100, 103, "p2"), 510))
			.noneMatch(EntryEffect.ReadTargetChanges.class::isInstance);
		assertThat(this.node.knownTargets()).isEqualTo(2);
	}

	// All nodes start at once and read. The first of them by name keeps reading: "b"
	// keeps reading despite "c", sends it each change, and stops when it receives updates
	// from "a".
	@Test
	void theNodeWithPrecedenceReadsForTheOthers() {
		receive(changes("c", 100, 103, "p2"), 100);
		assertThat(reliesOnReader(110)).isFalse();
		assertThat(this.node.knownTargets()).isEqualTo(1);
		assertThat(sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 103), 200)))
			.containsExactly(changes("b", 100, 103, "p2"));
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 600))).containsExactly(progress("b", 103, 103));
		receive(progress("a", 103, 104), 650);
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 1200))).isEmpty();
	}

	// The store refuses this node and serves the others. The node accepts updates from
	// any of them, and sends none itself.
	@Test
	void aNodeThatCannotReachTheStoreAcceptsUpdatesFromAnyNode() {
		accept(new EntryEvent.DirectoryUnreachable(), 100);
		assertThat(this.node.isStoreReachable()).isFalse();
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 700))).isEmpty();
		receive(agedByLongPoll(changes("c", 100, 103, "p2")), 800);
		assertThat(this.node.isStoreReachable()).isTrue();
		assertThat(this.node.knownTargets()).isEqualTo(2);
		accept(new EntryEvent.DirectoryUnreachable(), 900);
		assertThat(this.node.isStoreReachable()).isTrue();
		accept(new EntryEvent.DirectoryUnreachable(), 1800);
		assertThat(this.node.isStoreReachable()).isFalse();
	}

	private static NodeMessage.StoreUpdate updateFromSouth(String sender, long revision) {
		return new NodeMessage.StoreUpdate(sender, SOUTH, 5, 1, 100, 100, revision, List.of(change("p2")),
				Optional.empty(), Duration.ZERO);
	}

	private List<Address> receivers(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map(EntryEffect.Send.class::cast)
			.filter((send) -> send.message() instanceof NodeMessage.StoreUpdate)
			.flatMap((send) -> send.nodes().stream())
			.toList();
	}

	private void listWithSouth() {
		accept(new EntryEvent.NodesListed(List.of(ServingSamples.node("a", 7101), ServingSamples.node("c", 7103),
				new NodeRecord("s1", Address.of("127.0.0.1", 7201), SOUTH, 0.36, Optional.empty()),
				new NodeRecord("s2", Address.of("127.0.0.1", 7202), SOUTH, 1.5, Optional.empty()),
				new NodeRecord("s3", Address.of("127.0.0.1", 7203), SOUTH, 0.5, Optional.empty()))), 0);
	}

	// If each of five data centres had a reader, there would be five times as many calls.
	// One node reads for all; "b" receives its updates for its data centre and relays
	// them.
	@Test
	void relaysUpdatesOfAnotherDataCentre() {
		List<EntryEffect> effects = receive(updateFromSouth("a", 103), 100);
		assertThat(reliesOnReader(110)).isTrue();
		assertThat(this.node.knownTargets()).isEqualTo(2);
		assertThat(sentUpdates(effects)).containsExactly(changes("b", 100, 103, "p2"));
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 600))).isEmpty();
	}

	// "b" missed an update from the other data centre. If it relayed the next one, that
	// would have the same gap, and each node of its data centre would read. Instead, "b"
	// reads and sends them the changes.
	@Test
	void relaysWhatItReadAfterAGap() {
		assertThat(sentUpdates(receive(new NodeMessage.StoreUpdate("a", SOUTH, 5, 1, 102, 102, 104,
				List.of(change("p3")), Optional.empty(), Duration.ZERO), 100)))
			.isEmpty();
		assertThat(
				sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(change("p2"), change("p3")), 100, 104), 120)))
			.hasSize(1);
	}

	// Otherwise two nodes of a data centre would relay updates, and each change would
	// arrive twice.
	@Test
	void aLocalReaderTakesPrecedenceOverARemoteOne() {
		receive(progress("a", 100, 102), 50);
		assertThat(sentUpdates(receive(updateFromSouth("a", 103), 100))).isEmpty();
		assertThat(this.node.knownTargets()).isEqualTo(1);
	}

	// Another data centre is partitioned from the store and still has an older state.
	@Test
	void ignoresAnOlderStateOfAnotherDataCentre() {
		NodeMessage.StoreUpdate older = new NodeMessage.StoreUpdate("a", SOUTH, 4, 1, 90, 90, 95, List.of(change("p9")),
				Optional.empty(), Duration.ZERO);
		assertThat(receive(older, 100)).noneMatch(EntryEffect.ReadTargetChanges.class::isInstance);
		assertThat(this.node.knownTargets()).isEqualTo(1);
		assertThat(this.node.configurationVersion()).isEqualTo(5);
	}

	// The other data centre is partitioned from this one. "b" reads again before the
	// updates that it sent to its own nodes expire.
	@Test
	void readsForItsDataCentreSoonAfterTheRemoteReaderFails() {
		receive(agedByLongPoll(updateFromSouth("a", 103)), 500);
		assertThat(reliesOnReader(1200)).isTrue();
		assertThat(reliesOnReader(1300)).isFalse();
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 1305);
		assertThat(sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(), 103, 104), 1310)))
			.contains(progress("b", 103, 104));
	}

	// Small VMs have just enough processor time and bandwidth for their callers, so the
	// update goes to the node of the other data centre with the largest processor share.
	@Test
	void sendsToTheRemoteNodeWithTheLargestProcessorShare() {
		listWithSouth();
		assertThat(receivers(accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 103), 100)))
			.containsExactlyInAnyOrder(Address.of("127.0.0.1", 7101), Address.of("127.0.0.1", 7103),
					Address.of("127.0.0.1", 7202));
	}

	// "s2" has failed, and "b" does not know it. "s3" reads for its data centre and sends
	// updates.
	@Test
	void sendsToTheRemoteNodeThatReplacesAFailedRelay() {
		listWithSouth();
		receive(updateFromSouth("s3", 100), 50);
		assertThat(receivers(accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 103), 100)))
			.contains(Address.of("127.0.0.1", 7203));
	}

	// "b" received a change at 103 from "a", and "c" did not. Then "a" fails and "b"
	// reads. If its updates said that nothing has changed since 100, "c" would keep
	// sending requests to a target that has left.
	@Test
	void aNewReaderReportsTheLastChangeItReceived() {
		receive(changes("a", 100, 103, "p2"), 500);
		receive(agedByLongPoll(progress("a", 103, 104)), 800);
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 1795);
		assertThat(sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(), 104, 105), 1800)))
			.containsExactly(progress("b", 103, 105));
	}

	// After an outage the store may answer a weak node first, whose link would be too
	// small
	// for the updates of all others.
	@Test
	void readsAgainInPlaceOfANodeThatDoesNotTakePrecedence() {
		receive(progress("c", 100, 101), 1000);
		assertThat(reliesOnReader(1050)).isFalse();
		accept(new EntryEvent.TargetsChanged(List.of(), 100, 102), 1050);
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 1060))).isEmpty();
		assertThat(sentUpdates(accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 1070)))
			.isNotEmpty();
	}

	@Test
	void relaysRemoteUpdatesInPlaceOfALocalNodeThatDoesNotTakePrecedence() {
		receive(progress("c", 100, 100), 1000);
		assertThat(sentUpdates(receive(updateFromSouth("a", 103), 1100))).isNotEmpty();
		assertThat(reliesOnReader(1150)).isTrue();
		receive(progress("c", 103, 103), 1200);
		assertThat(sentUpdates(receive(updateFromSouth("a", 103), 1300))).isNotEmpty();
	}

	// The reader's revision says nothing about versions that this node has not applied.
	@Test
	void followsTheRevisionOfTheConfigurationInEffectOnly() {
		assertThat(receive(progress("a", 100, 103), 100)).contains(new EntryEffect.AdvanceConfigurationRevision(1));
		NodeMessage.StoreUpdate newer = new NodeMessage.StoreUpdate("a", NORTH, 6, 90, 100, 103, 103, List.of(),
				Optional.empty(), Duration.ZERO);
		assertThat(receive(newer, 200)).noneMatch(EntryEffect.AdvanceConfigurationRevision.class::isInstance);
		accept(new EntryEvent.ConfigurationReceived(ServingSamples.configuration(6), "a"), 210);
		assertThat(receive(newer, 300)).contains(new EntryEffect.AdvanceConfigurationRevision(90));
	}

	// The text of a configuration is lost. To avoid keeping the previous version for
	// good, the node asks the reader for it, and then reads the store.
	@Test
	void readsANewerConfigurationWhoseTextDoesNotArrive() {
		NodeMessage.StoreUpdate newer = new NodeMessage.StoreUpdate("a", NORTH, 6, 1, 100, 103, 103, List.of(),
				Optional.empty(), Duration.ZERO);
		assertThat(receive(newer, 100)).noneMatch(EntryEffect.ReadConfiguration.class::isInstance);
		assertThat(accept(new EntryEvent.Ticked(), 300)).contains(new EntryEffect.Send(
				List.of(Address.of("127.0.0.1", 7101)), new NodeMessage.ConfigurationRequest("b", 6)));
		assertThat(accept(new EntryEvent.Ticked(), 500)).contains(new EntryEffect.ReadConfiguration());
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(6), 1), 520);
		assertThat(receive(newer, 750)).noneMatch(EntryEffect.ReadTargetChanges.class::isInstance)
			.noneMatch(EntryEffect.ReadConfiguration.class::isInstance);
	}

	@Test
	void repeatsChangesForANodeThatHasMissedThem() {
		accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 103), 100);
		accept(new EntryEvent.TargetsChanged(List.of(), 103, 105), 200);
		accept(new EntryEvent.TargetsChanged(List.of(change("p3")), 105, 108), 300);
		assertThat(repeatedChanges(100)).containsExactly(change("p2"), change("p3"));
		assertThat(repeatedChanges(103)).containsExactly(change("p3"));
		assertThat(repeatedChanges(108)).isEmpty();
		assertThat(repeatedChanges(99)).as("a change after 99 may be unknown").isEmpty();
	}

	private List<TargetChange> repeatedChanges(long since) {
		return sentUpdates(accept(new EntryEvent.MessageReceived(new NodeMessage.ChangesRequest("c", since)), 310))
			.stream()
			.flatMap((update) -> update.changes().stream())
			.toList();
	}

	@Test
	void asksTheReaderForMissedChanges() {
		assertThat(receive(changes("a", 105, 108, "p4"), 600)).contains(
				new EntryEffect.Send(List.of(Address.of("127.0.0.1", 7101)), new NodeMessage.ChangesRequest("b", 100)));
	}

	@Test
	void sendsATextAgainToANodeThatLacksIt() {
		EntryEvent wanted = new EntryEvent.MessageReceived(new NodeMessage.ConfigurationRequest("c", 5));
		assertThat(accept(wanted, 100))
			.containsExactly(new EntryEffect.SendConfiguration(List.of(Address.of("127.0.0.1", 7103)), 5));
		assertThat(accept(new EntryEvent.MessageReceived(new NodeMessage.ConfigurationRequest("c", 6)), 100)).isEmpty();
	}

	// A stopping node does not read for others: they would notice its exit only
	// afterwards.
	@Test
	void aStoppingNodeSendsNoUpdates() {
		accept(new EntryEvent.StopRequested(), 100);
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 1000))).isEmpty();
		assertThat(sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(change("p2")), 100, 103), 1100))).isEmpty();
	}

	@Test
	void updatesExpireBeforeALeavingTargetMustReceiveNoRequests() {
		Duration connecting = Duration.ofMillis(300);
		assertThat(StoreRelay.LOCAL_UPDATE_VALIDITY.plus(connecting)).isLessThan(Duration.ofSeconds(2));
		assertThat(StoreRelay.LOCAL_UPDATE_VALIDITY.minus(StoreRelay.LONG_POLL_WAIT)).isLessThan(Duration.ofSeconds(1));
		assertThat(StoreRelay.REMOTE_UPDATE_VALIDITY).isLessThan(StoreRelay.LOCAL_UPDATE_VALIDITY);
		assertThat(StoreRelay.LONG_POLL_WAIT.plus(StoreRelay.UPDATE_INTERVAL.multipliedBy(2)))
			.isLessThan(StoreRelay.REMOTE_UPDATE_VALIDITY);
		assertThat(StoreRelay.LONG_POLL_WAIT).isLessThan(StoreRelay.OWN_READ_VALIDITY);
		assertThat(StoreRelay.OWN_READ_VALIDITY).isLessThan(StoreRelay.REMOTE_UPDATE_VALIDITY);
	}

	// If nodes applied no received texts, each of 95 nodes would read each of 18 versions
	// in the store, most of them twice. A node applies the text that another one sends,
	// once, and never an older one.
	@Test
	void appliesTheReceivedTextOfANewerConfiguration() {
		assertThat(receiveConfiguration(6, 100)).contains(new EntryEffect.ParseConfiguration("a", 6, "text of 6"));
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(6), 1), 110);
		assertThat(receiveConfiguration(6, 120)).isEmpty();
		assertThat(receiveConfiguration(5, 130)).isEmpty();
	}

	private List<EntryEffect> receiveConfiguration(long version, long millis) {
		return accept(
				new EntryEvent.MessageReceived(new NodeMessage.ConfigurationText("a", version, "text of " + version)),
				millis);
	}

	// The reader sends each version to the others. A node that receives it relays it only
	// if its data centre receives store updates from that node.
	@Test
	void sendsAConfigurationThatItReadsForOthers() {
		accept(new EntryEvent.TargetsChanged(List.of(), 100, 100), 100);
		assertThat(accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(6), 1), 200))
			.anyMatch((effect) -> effect instanceof EntryEffect.SendConfiguration send && send.version() == 6
					&& send.nodes().contains(Address.of("127.0.0.1", 7103)));
		receive(progress("a", 100, 100), 300);
		assertThat(accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(7), 1), 400))
			.noneMatch(EntryEffect.SendConfiguration.class::isInstance);
	}

	// The call for the configuration hangs. If this node kept sending updates, the others
	// would never make that call.
	@Test
	void sendsNoUpdatesOnceTheStoreAnswersOnlyCallsForTargets() {
		assertThat(sentUpdates(accept(new EntryEvent.TargetsChanged(List.of(), 100, 101), 800))).isNotEmpty();
		accept(new EntryEvent.TargetsChanged(List.of(), 101, 102), 1300);
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 1350))).isEmpty();
		accept(new EntryEvent.ConfigurationReceived(ServingSamples.configuration(6), "a"), 1400);
		assertThat(sentUpdates(accept(new EntryEvent.Ticked(), 1450))).isEmpty();
	}

	// An answer that the reader got 0.8 s ago must not count as new again at each node on
	// the way.
	@Test
	void theValidityOfAnUpdateBeginsWithTheAnswerOfTheStore() {
		receive(aged(updateFromSouth("a", 103), Duration.ofMillis(800)), 500);
		assertThat(reliesOnReader(940)).isTrue();
		assertThat(reliesOnReader(950)).isFalse();
	}

	// A relay that sent received updates as its own reads would reset their age.
	@Test
	void relayedUpdatesKeepTheirAgeAndOwnUpdatesHaveThatOfTheOlderAnswer() {
		assertThat(sentAges(receive(aged(updateFromSouth("a", 103), Duration.ofMillis(800)), 500)))
			.containsExactly(Duration.ofMillis(800));
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(5), 1), 1500);
		accept(new EntryEvent.TargetsChanged(List.of(), 103, 104), 1800);
		assertThat(sentAges(accept(new EntryEvent.Ticked(), 2100))).containsExactly(Duration.ofMillis(600));
	}

	// The nodes of the data centre would drop an update that seems as old as this node's
	// own last read.
	@Test
	void aRelayThatReadsMissedChangesSendsThemWithTheAgeOfTheUpdatesItReceives() {
		receive(aged(updateFromSouth("a", 103), Duration.ofMillis(100)), 1000);
		assertThat(sentAges(accept(new EntryEvent.TargetsChanged(List.of(change("p3")), 103, 105), 1100)))
			.containsExactly(Duration.ofMillis(200));
	}

	private static List<Duration> sentAges(List<EntryEffect> effects) {
		return effects.stream()
			.filter(EntryEffect.Send.class::isInstance)
			.map((effect) -> ((EntryEffect.Send) effect).message())
			.filter(NodeMessage.StoreUpdate.class::isInstance)
			.map((message) -> ((NodeMessage.StoreUpdate) message).age())
			.toList();
	}

	// Requests reach a target that has left. The log must show which nodes knew of it,
	// and from which node.
	@Test
	void logsTheSourceOfALeavingNotice() {
		TargetEntry leaving = ServingSamples.plain("p1").asLeaving();
		List<EntryEffect> effects = receive(agedByLongPoll(new NodeMessage.StoreUpdate("a", NORTH, 5, 1, 100, 100, 103,
				List.of(new TargetChange(leaving.name(), Optional.of(leaving))), Optional.empty(), Duration.ZERO)),
				500);
		assertThat(logged(effects, LogEvent.TARGET_NOTICE)).containsExactly("target=p1 revision=103 told-by=a");
		assertThat(logged(effects, LogEvent.STORE_READER)).containsExactly("node=a before=b");
		assertThat(logged(accept(new EntryEvent.Ticked(), 1500), LogEvent.STORE_READER))
			.containsExactly("node=b before=a");
	}

	private static List<String> logged(List<EntryEffect> effects, LogEvent event) {
		return effects.stream()
			.filter(EntryEffect.Log.class::isInstance)
			.map((effect) -> ((EntryEffect.Log) effect).line())
			.filter((line) -> line.event() == event)
			.map(LogLine::detail)
			.toList();
	}

}
