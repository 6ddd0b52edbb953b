package sycamorehill.logic.group;

import java.time.Duration;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.experiment.group.PlainTrialPlatform;
import sycamorehill.experiment.group.TrialPlatform;
import sycamorehill.experiment.group.TrialSettings;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;

/**
 * Creates small trials: one data centre, two nodes, two domains of six VMs each, groups
 * of three.
 */
final class GroupTrials {

	static final DataCentreName DATA_CENTRE = DataCentreName.of("dc0");

	static final Duration FORMED = Duration.ofSeconds(60);

	private GroupTrials() {
	}

	static GroupTrial create(long seed) {
		return create(seed, PlainTrialPlatform.create());
	}

	static GroupTrial create(long seed, TrialPlatform platform) {
		return create(settings(seed), platform);
	}

	static GroupTrial create(TrialSettings settings, TrialPlatform platform) {
		return GroupTrial.create(settings, platform);
	}

	static TrialSettings settings(long seed) {
		return new TrialSettings(Policy.standard(), 1, 2, 2, 6, Duration.ofSeconds(8), 4, Duration.ofSeconds(5), seed);
	}

	static Item service(String version) {
		return ServiceItem.model(ServiceName.of("drafts"), "model", version);
	}

	static Item set(int groups, int standbys) {
		return new ModelGroupItem(GroupSetName.of("drafts"), ServiceName.of("drafts"), DATA_CENTRE, groups, 3, standbys,
				false, true);
	}

	/**
	 * Creates a trial and runs it until the groups are formed.
	 */
	static GroupTrial formed(long seed, int groups, int standbys) {
		GroupTrial trial = create(seed);
		trial.file(service("1"), set(groups, standbys));
		trial.run(FORMED);
		return trial;
	}

}
