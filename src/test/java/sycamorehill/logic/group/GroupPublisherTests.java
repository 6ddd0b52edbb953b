package sycamorehill.logic.group;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.PlainTrialPlatform;
import sycamorehill.experiment.group.TrialNode;
import sycamorehill.experiment.group.TrialSettings;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ModelGroupItem;

class GroupPublisherTests {

	private static final ServiceName DRAFTS = ServiceName.of("drafts");

	private static final int DATA_CENTRES = 3;

	private static final Duration STEP = Duration.ofMillis(100);

	private static GroupTrial formed(long seed) {
		TrialSettings settings = new TrialSettings(Policy.standard(), DATA_CENTRES, 1, 2, 6, Duration.ofSeconds(8), 4,
				Duration.ofSeconds(5), seed);
		GroupTrial trial = GroupTrials.create(settings, PlainTrialPlatform.create());
		trial.file(GroupTrials.service("1"), set(0), set(1), set(2));
		trial.run(GroupTrials.FORMED);
		return trial;
	}

	private static Item set(int dataCentre) {
		DataCentreName name = DataCentreName.of("dc" + dataCentre);
		return new ModelGroupItem(GroupSetName.of("drafts-" + name), DRAFTS, name, 1, 3, 0, false, true);
	}

	private static Set<DataCentreName> observedDataCentres(GroupTrial trial, TrialNode node) {
		return node.targets(DRAFTS, trial.now()).stream().map(ServingTarget::dataCentre).collect(Collectors.toSet());
	}

	// Guards against a data centre that refuses its callers although nothing changes,
	// every message arrives and the groups of the other data centres serve. This happens
	// if a node counts relayed messages together with its own and sends every second
	// message by that count to the other data centres.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void eachDataCentreAlwaysSeesTheGroupsOfTheOthers(long seed) {
		GroupTrial trial = formed(seed);
		for (int step = 0; step < 600; step++) {
			trial.run(STEP);
			for (TrialNode node : trial.nodes()) {
				Assertions.assertThat(observedDataCentres(trial, node))
					.as("%s at %s", node.self(), trial.now())
					.hasSize(DATA_CENTRES);
			}
		}
	}

	// Guards against a data centre that refuses its callers long after a partition. It
	// misses a change that the others publish during the partition, if addresses and
	// members are in only a few messages and these are not sent to other data centres.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aDataCentreThatMissedAChangeReceivesItWithinSeconds(long seed) {
		GroupTrial trial = formed(seed);
		TrialNode partitioned = trial.nodes().get(DATA_CENTRES - 1);
		List<TrialNode> others = trial.nodes().subList(0, DATA_CENTRES - 1);
		partitioned.cutFromPeers(true);
		trial.run(Duration.ofSeconds(10));
		Assertions.assertThat(observedDataCentres(trial, partitioned)).isNotEmpty().hasSizeLessThan(DATA_CENTRES);
		partitioned.cutFromPeers(false);
		trial.run(Duration.ofSeconds(8));
		Assertions.assertThat(observedDataCentres(trial, partitioned)).hasSize(DATA_CENTRES);
		Assertions.assertThat(others)
			.allSatisfy((node) -> Assertions.assertThat(observedDataCentres(trial, node)).hasSize(DATA_CENTRES));
	}

}
