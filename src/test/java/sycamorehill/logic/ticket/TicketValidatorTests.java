package sycamorehill.logic.ticket;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ItemKey;
import sycamorehill.model.ticket.ItemKind;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.support.Drafts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which faults the validator finds in a ticket.
 */
class TicketValidatorTests {

	private static final ServiceItem SERVICE = ServiceItem.model(ServiceName.of("drafting"), "model", "1");

	private static final DesiredState DESIRED_STATE = DesiredState.of(7,
			List.of(new AppliedItem(SERVICE, 5), new AppliedItem(Drafts.groupSet("set", "drafting", 2), 6),
					new AppliedItem(Drafts.workspace("desk", 'a'), 7)));

	@Test
	void validTicketHasNoFault() {
		assertThat(faults(ItemChange.set(SERVICE, 5), ItemChange.set(Drafts.workspace("yard", 'b'), 0))).isEmpty();
	}

	@Test
	void allFaultsAreReportedAtOnce() {
		WorkspaceItem bad = new WorkspaceItem(WorkspaceName.of("bad"), "ABC", 0, -1, 0, 0);
		assertThat(faults(ItemChange.set(bad, 0), ItemChange.set(SERVICE, 4), ItemChange.set(SERVICE, 4))).hasSize(7);
	}

	@Test
	void itemChangedByAnotherTicketIsReturned() {
		assertThat(TicketValidator.validate(Drafts.of("f", ItemChange.set(SERVICE, 4)), DESIRED_STATE).currentItems())
			.containsExactly(new AppliedItem(SERVICE, 5));
	}

	@Test
	void serviceOfAGroupSetCannotBeRemoved() {
		assertThat(faults(ItemChange.remove(SERVICE.key(), 5))).singleElement().asString().contains("no service");
	}

	@Test
	void serviceCanBeRemovedTogetherWithItsGroupSet() {
		assertThat(faults(ItemChange.remove(SERVICE.key(), 5),
				ItemChange.remove(ItemKey.of(ItemKind.MODEL_GROUP, "set"), 6)))
			.isEmpty();
	}

	@Test
	void groupSetNeedsAModelService() {
		assertThat(faults(ItemChange.set(Drafts.groupSet("other", "unknown", 1), 0))).singleElement()
			.asString()
			.contains("no service unknown");
	}

	@Test
	void twoWorkspacesCannotHaveOneKey() {
		assertThat(faults(ItemChange.set(Drafts.workspace("yard", 'a'), 0))).singleElement()
			.asString()
			.contains("same key");
	}

	@Test
	void keyOfTheChangeMustBeThatOfTheItem() {
		ItemChange change = new ItemChange(ItemKey.of(ItemKind.SERVICE, "other"), Optional.of(SERVICE), 0);
		assertThat(faults(change)).singleElement().asString().contains("is the state of");
	}

	@Test
	void missingItemCannotBeRemoved() {
		assertThat(faults(ItemChange.remove(ItemKey.of(ItemKind.SERVICE, "other"), 0))).singleElement()
			.asString()
			.contains("does not exist");
	}

	private static List<String> faults(ItemChange... changes) {
		return TicketValidator.validate(Drafts.of("f", changes), DESIRED_STATE).faults();
	}

}
