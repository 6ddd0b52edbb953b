package sycamorehill.logic.group;

import java.time.Instant;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.peer.GroupSetObservations;
import sycamorehill.model.peer.GroupsSent;

class PublishedGroupsTests {

	private static final GroupSetName SET = GroupSetName.of("drafts");

	private static final GroupName NAME = GroupName.of(SET, 0);

	private static GroupsSent message(long version, long generation, int age) {
		GroupSetObservations observations = new GroupSetObservations(SET, List.of(0), List.of(generation), List.of(age),
				List.of(0), List.of(0), List.of(0), List.of(0L));
		return new GroupsSent(DataCentreName.of("dc0"), NodeIncarnation.of(NodeName.of("n"), 1), 1, 0, version, 0,
				List.of(observations), List.of());
	}

	private static PublishedGroups withMessage(PublishedGroups groups, GroupsSent message, int second) {
		return groups.withMessage(message, Instant.ofEpochSecond(second));
	}

	// Guards against requests to a removed group. A steward with an outdated allocation
	// publishes a group that has been removed since.
	@Test
	void aMessageBasedOnAnOlderAllocationIsIgnored() {
		PublishedGroups groups = withMessage(PublishedGroups.none(), message(8, 4, 0), 1);
		Assertions.assertThat(withMessage(groups, message(7, 3, 0), 2)).isEqualTo(groups);
	}

	@Test
	void aMessageBasedOnANewerAllocationRemovesGroupsItDoesNotList() {
		PublishedGroups groups = withMessage(PublishedGroups.none(), message(8, 4, 0), 1);
		GroupsSent none = new GroupsSent(DataCentreName.of("dc0"), NodeIncarnation.of(NodeName.of("n"), 1), 2, 0, 9, 0,
				List.of(), List.of());
		Assertions.assertThat(withMessage(groups, none, 2).groups()).isEmpty();
	}

	@Test
	void theMostRecentObservationOfTwoStewardsIsUsed() {
		PublishedGroups groups = withMessage(PublishedGroups.none(), message(8, 4, 200), 3);
		Assertions.assertThat(withMessage(groups, message(8, 4, 4000), 4).groups().get(NAME).seenAt())
			.isEqualTo(Instant.ofEpochMilli(2800));
	}

}
