package sycamorehill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ConfigurationChange;
import sycamorehill.support.ServingSamples;

/**
 * Tests over loopback that requests in flight get their whole answers while targets leave
 * together with a change of the configuration, and while another node sends the requests
 * to their targets.
 */
class TargetChangesInFlightTests {

	private static final Configuration FIRST = ServingSamples.configuration(1);

	private static final String NEXT_GROUP = "small.9";

	private static final Duration DIRECTORY_READ_TIME = Duration.ofMillis(300);

	private final SteppedAnswers answers = new SteppedAnswers();

	private LoopbackCluster cluster;

	private RequestsInFlight requests;

	@AfterEach
	void end() throws Exception {
		this.requests.close();
		this.cluster.close();
	}

	private void start(String... names) throws Exception {
		this.cluster = LoopbackCluster.start(this.answers::answerPlain, this.answers::answerStream, List.of(), names);
		this.requests = RequestsInFlight.of(this.cluster, this.answers, "1");
	}

	private void storeAndAwait(ConfigurationChange change, String... nodes) throws Exception {
		this.cluster.store(change.apply(FIRST, 2));
		for (String node : nodes) {
			this.cluster.awaitVersion(node, 2);
		}
	}

	// A request that another node sends to the target is cut by a change at either node.
	@ParameterizedTest
	@EnumSource(names = { "SERVICES_REMOVED", "MODEL_REMOVED" })
	void aChangeOfTheConfigurationCutsNoRequestThroughAnotherNode(ConfigurationChange change) throws Exception {
		start("one", "two");
		this.cluster.awaitRetryShare("one");
		this.cluster.cut("one", TargetLink.Way.RESET);
		for (int number = 0; number < 6; number++) {
			this.cluster.ask("one", "/again/first", "before-plain" + number);
			this.cluster.ask("one", "/stream/first", "before-stream" + number);
		}
		this.requests.sendUndisturbed();
		this.requests.send("/stream/", "breaking");
		this.requests.send("/again/", "failing");
		this.requests.awaitStarted();
		storeAndAwait(change, "one", "two");
		this.requests.assertWhole();
	}

	// The store no longer lists targets with requests, as at a planned end.
	@Test
	void targetsThatAreRemovedWithAChangeFinishTheirRequests() throws Exception {
		changeTargets((target) -> Optional.empty());
	}

	@Test
	void targetsThatLeaveWithAChangeFinishTheirRequests() throws Exception {
		changeTargets((target) -> Optional.of(target.asLeaving()));
	}

	// The engines have left their groups before their last answers have ended.
	@Test
	void enginesWithoutAGroupFinishTheirRequests() throws Exception {
		changeTargets((target) -> Optional.of(target.withReport(target.staged(), Optional.empty())));
	}

	// Of groups that have ended, one head is in its next group and receives requests.
	@Test
	void streamsGoOnWhenTheirGroupsHaveEndedAndAreFormedAnew() throws Exception {
		start("one");
		this.cluster.awaitRetryShare("one");
		this.requests.sendUndisturbed();
		this.requests.awaitStarted();
		this.cluster
			.changeTargets((target) -> Optional.of(target.name().value().endsWith("0") ? inNextGroup(target) : target));
		Thread.sleep(DIRECTORY_READ_TIME.toMillis());
		for (int number = 0; number < 3; number++) {
			this.cluster.node("one")
				.post(new EntryEvent.MessageReceived(
						new NodeMessage.GroupEnded("two", TargetName.of("h" + number), "small." + number, 1)));
		}
		storeAndAwait(ConfigurationChange.MODEL_REMOVED, "one");
		this.requests.assertWhole();
	}

	private static TargetEntry inNextGroup(TargetEntry target) {
		return target.withReport(target.staged(), target.membership()
			.map((membership) -> new Membership(NEXT_GROUP, 2, membership.rank(), membership.state())));
	}

	private void changeTargets(Function<TargetEntry, Optional<TargetEntry>> change) throws Exception {
		start("one");
		this.requests.sendUndisturbed();
		this.requests.awaitStarted();
		this.cluster.changeTargets(change);
		storeAndAwait(ConfigurationChange.SERVICES_REMOVED, "one");
		Thread.sleep(DIRECTORY_READ_TIME.toMillis());
		this.requests.assertWhole();
	}

}
