package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.LoadSum;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.Route;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.UseReport;
import sycamorehill.model.serving.Workspace;
import sycamorehill.model.serving.WorkspaceUse;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how requests stand to the shares of their workspaces at one node.
 */
class WorkspaceSharesTests {

	private static final DataCentreName NORTH = DataCentreName.of("north");

	private static final Candidate CANDIDATE = new Candidate(
			ServingSamples.member("a1", "small.1", 1, 0, MemberState.OPEN), 12, Optional.of(ServingSamples.SMALL),
			Optional.of(ServingSamples.engineFigures()));

	private static final ServedModel MODEL = new ServedModel(ServingSamples.ENGINES,
			Optional.of(ServingSamples.SMALL.name()));

	private final WorkspaceShares shares = WorkspaceShares.create();

	private Instant now = Instant.ofEpochSecond(1000);

	private long number;

	@BeforeEach
	void adoptTwoWorkspaces() {
		this.shares.adopt(configuration("flood", "small", "other"));
	}

	private static Configuration configuration(String... workspaces) {
		Configuration sample = ServingSamples.configuration(1);
		Map<String, Workspace> byKey = new HashMap<>();
		for (String workspace : workspaces) {
			byKey.put("key of " + workspace, new Workspace(WorkspaceName.of(workspace), 1));
		}
		return new Configuration(1, sample.routes(), sample.services(), sample.limits(), byKey, true);
	}

	private DispatchedRequest request(String workspace, int priority) {
		Configuration sample = ServingSamples.configuration(1);
		Route stream = sample.routes().get(2);
		Route route = new Route(stream.name(), stream.host(), stream.pathPrefix(), stream.kind(), stream.timeout(),
				stream.latencyTarget(), stream.pauseTarget(), priority, stream.services(), 2, false);
		CallerRequest request = ServingSamples.request(this.number++, "/stream/x");
		return DispatchedRequest.of(request, route, sample.service(ServingSamples.ENGINES).orElseThrow(),
				Optional.of(new Workspace(WorkspaceName.of(workspace), 1)), this.now);
	}

	private void ask(String workspace, int priority, int asked, int admitted) {
		for (int index = 0; index < asked; index++) {
			DispatchedRequest request = request(workspace, priority);
			this.shares.recordAsked(request, CANDIDATE, this.now);
			if (index < admitted) {
				this.shares.recordAdmitted(request, CANDIDATE, this.now);
			}
		}
	}

	private void ask(String workspace, int asked, int admitted) {
		ask(workspace, 1, asked, admitted);
	}

	private long countOverShare(String workspace, int priority) {
		long over = 0;
		for (int index = 0; index < 100; index++) {
			WorkspaceStanding standing = this.shares.standing(request(workspace, priority), CANDIDATE, this.now);
			over += (standing.level() == WorkspaceStanding.Level.OVER_SHARE) ? 1 : 0;
		}
		return over;
	}

	private WorkspaceStanding.Level level(String workspace) {
		return this.shares.standing(request(workspace, 1), CANDIDATE, this.now).level();
	}

	private void report(String node, Map<WorkspaceName, WorkspaceUse> uses) {
		this.shares.handleReport(
				new NodeMessage.Loads(node, NORTH, true, Map.of(), new UseReport(List.of(new ModelUse(MODEL, uses)))),
				this.now);
	}

	@Test
	void aFloodIsOverItsShareAndTheOthersAreNot() {
		ask("flood", 100, 60);
		ask("small", 10, 5);
		assertThat(countOverShare("flood", 1)).isEqualTo(100);
		assertThat(level("small")).isEqualTo(WorkspaceStanding.Level.WITHIN_SHARE);
		assertThat(level("other")).isEqualTo(WorkspaceStanding.Level.WITHIN_SHARE);
	}

	// The others have all that they ask for: what the share covers isn't restricted.
	@Test
	void aFloodMayUseWhatOthersLeave() {
		ask("flood", 100, 60);
		ask("small", 10, 10);
		assertThat(countOverShare("flood", 1)).isBetween(20L, 35L);
	}

	@Test
	void nothingDependsOnSharesWhileAllIsAdmitted() {
		ask("flood", 100, 100);
		ask("small", 1, 1);
		assertThat(level("flood")).isEqualTo(WorkspaceStanding.Level.UNCONTESTED);
		assertThat(level("small")).isEqualTo(WorkspaceStanding.Level.UNCONTESTED);
	}

	@Test
	void oneWorkspaceAloneGetsEverything() {
		ask("flood", 100, 50);
		assertThat(countOverShare("flood", 1)).isZero();
	}

	// Less urgent requests are the first that a workspace over its share loses.
	@Test
	void theMoreUrgentRouteGoesFirst() {
		ask("flood", 0, 30, 30);
		ask("flood", 2, 70, 30);
		ask("small", 10, 5);
		assertThat(countOverShare("flood", 0)).isZero();
		assertThat(countOverShare("flood", 2)).isEqualTo(100);
	}

	@Test
	void aConfigurationWithOneWorkspaceRecordsNothing() {
		this.shares.adopt(configuration("flood"));
		ask("flood", 100, 50);
		assertThat(this.shares.report(this.now)).isEqualTo(UseReport.NONE);
		assertThat(level("flood")).isEqualTo(WorkspaceStanding.Level.UNCONTESTED);
	}

	@Test
	void aRequestCountsOnceHoweverOftenItIsSent() {
		DispatchedRequest request = request("small", 1);
		for (int index = 0; index < 3; index++) {
			this.shares.recordAsked(request, CANDIDATE, this.now);
			this.shares.recordAdmitted(request, CANDIDATE, this.now);
		}
		assertThat(this.shares.report(this.now)).isEqualTo(new UseReport(
				List.of(new ModelUse(MODEL, Map.of(WorkspaceName.of("small"), new WorkspaceUse(875, 875))))));
	}

	// The use of a removed workspace would hold down the shares of the others.
	@Test
	void aRemovedWorkspaceIsForgotten() {
		ask("flood", 100, 60);
		ask("small", 10, 5);
		this.shares.adopt(configuration("small", "other"));
		assertThat(this.shares.report(this.now).models().get(0).byWorkspace())
			.containsOnlyKeys(WorkspaceName.of("small"));
		assertThat(level("flood")).isEqualTo(WorkspaceStanding.Level.UNCONTESTED);
		assertThat(countOverShare("small", 1)).isZero();
	}

	@Test
	void useIsForgottenWithinAMinute() {
		ask("flood", 100, 60);
		this.now = this.now.plus(Duration.ofSeconds(3));
		assertThat(this.shares.report(this.now).models().get(0).byWorkspace().get(WorkspaceName.of("flood")).asked())
			.isBetween(0.36 * 87_500, 0.37 * 87_500);
		this.now = this.now.plus(Duration.ofSeconds(57));
		assertThat(this.shares.report(this.now)).isEqualTo(UseReport.NONE);
	}

	// A node that has started sees one workspace, and learns of the others by reports.
	@Test
	void aNodeThatStartsDecidesByItsOwnFiguresUntilReportsArrive() {
		ask("flood", 100, 50);
		assertThat(countOverShare("flood", 1)).isZero();
		this.now = this.now.plusMillis(200);
		report("two", Map.of(WorkspaceName.of("small"), new WorkspaceUse(20_000, 10_000)));
		assertThat(countOverShare("flood", 1)).isEqualTo(100);
	}

	// A node that is cut off decides by its own figures once the last reports expire.
	@Test
	void reportsExpire() {
		report("two", Map.of(WorkspaceName.of("small"), new WorkspaceUse(20_000, 10_000)));
		ask("flood", 100, 50);
		assertThat(countOverShare("flood", 1)).isEqualTo(100);
		this.now = this.now.plusMillis(1900);
		assertThat(countOverShare("flood", 1)).isPositive();
		this.now = this.now.plusMillis(200);
		assertThat(countOverShare("flood", 1)).isZero();
	}

	// Sums and the reports of single nodes overlap while the aggregator changes.
	@Test
	void theSumOfADataCentreReplacesTheReportsOfItsNodes() {
		Map<WorkspaceName, WorkspaceUse> uses = Map.of(WorkspaceName.of("small"), new WorkspaceUse(100, 100),
				WorkspaceName.of("flood"), new WorkspaceUse(9000, 1000));
		report("two", uses);
		this.shares.handleReport(new LoadSum("three", NORTH, 7, Map.of(TargetName.of("a1"), 3),
				new UseReport(List.of(new ModelUse(MODEL, uses)))), this.now);
		report("two", uses);
		WorkspaceStanding standing = this.shares.standing(request("flood", 1), CANDIDATE, this.now);
		assertThat(standing.share().orElseThrow().use()).isBetween(333.0, 334.0);
	}

	// Work per request must not grow with the nodes: 95 nodes report 8 of 40 workspaces
	// each.
	@Test
	void aRequestTakesMicrosecondsWithFortyWorkspacesAndManyNodes() {
		String[] names = IntStream.range(0, 40).mapToObj((index) -> "w" + index).toArray(String[]::new);
		this.shares.adopt(configuration(names));
		for (int node = 0; node < 95; node++) {
			Map<WorkspaceName, WorkspaceUse> uses = new HashMap<>();
			for (int index = 0; index < 8; index++) {
				uses.put(WorkspaceName.of(names[(node * 7 + index) % 40]), new WorkspaceUse(9000, 4000));
			}
			report("n" + node, uses);
		}
		measure(names);
		double micros = measure(names);
		assertThat(micros).isLessThan(50);
	}

	private double measure(String[] names) {
		int requests = 2000;
		List<DispatchedRequest> created = IntStream.range(0, requests)
			.mapToObj((index) -> request(names[index % 40], 1))
			.toList();
		long begin = System.nanoTime();
		for (DispatchedRequest request : created) {
			this.now = this.now.plusNanos(500_000);
			this.shares.recordAsked(request, CANDIDATE, this.now);
			this.shares.standing(request, CANDIDATE, this.now);
			this.shares.recordAdmitted(request, CANDIDATE, this.now);
		}
		return (System.nanoTime() - begin) / 1000.0 / requests;
	}

}
