package sycamorehill.logic.group;

import java.time.Duration;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.experiment.group.GroupTrial;
import sycamorehill.model.group.GroupPhase;
import sycamorehill.model.group.GroupRecord;

class GroupFormationTests {

	@Test
	void groupsOfATicketAreFormedAndServe() {
		GroupTrial trial = GroupTrials.formed(1, 3, 0);
		Assertions.assertThat(trial.allocation(GroupTrials.DATA_CENTRE).groups().values())
			.hasSize(3)
			.extracting(GroupRecord::phase)
			.containsOnly(GroupPhase.SERVING);
		double before = trial.figures().downtimeSeconds();
		trial.run(Duration.ofSeconds(20));
		Assertions.assertThat(trial.figures().downtimeSeconds()).isEqualTo(before);
		Assertions.assertThat(trial.figures().violations()).isEmpty();
	}

}
