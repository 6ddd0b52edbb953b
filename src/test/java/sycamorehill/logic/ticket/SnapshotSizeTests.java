package sycamorehill.logic.ticket;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import sycamorehill.json.ModelJson;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.policy.TicketPolicy;
import sycamorehill.model.ticket.AcceptedFiling;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredStateSnapshot;
import sycamorehill.model.ticket.WorkspaceItem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a snapshot stays within the size limit of platform objects.
 */
class SnapshotSizeTests {

	private static final int MAXIMUM_OBJECT_BYTES = 1024 * 1024;

	@Test
	void largestAcceptedStateFitsIntoOneObject() throws Exception {
		// If the validator let the desired state grow beyond the size of one object, no
		// snapshot could be written any more and the log would grow without bound. The
		// tickets responsible could not be refused, as they are accepted already.
		List<AppliedItem> items = new ArrayList<>();
		long bytes = 0;
		while (bytes <= TicketValidator.MAXIMUM_STATE_BYTES) {
			String name = "workspace-with-a-long-name-" + items.size();
			WorkspaceItem item = new WorkspaceItem(WorkspaceName.of(name), "f".repeat(64), 123456.789, 1234567.89,
					Integer.MAX_VALUE, 1000);
			items.add(new AppliedItem(item, 1_000_000 + items.size()));
			bytes += ItemValidator.estimateBytes(item);
		}
		List<AcceptedFiling> filings = new ArrayList<>();
		for (int filing = 0; filing < TicketPolicy.standard().keptFilings(); filing++) {
			String identifier = "0123456789abcdef0123456789abcdef" + filing;
			filings.add(new AcceptedFiling(FilingIdentifier.of(identifier), 1_000_000 + filing));
		}
		DesiredStateSnapshot snapshot = new DesiredStateSnapshot(2_000_000, items, 1, 1_999_600, filings);
		assertThat(ModelJson.json().writeValueAsBytes(snapshot).length).isLessThan(MAXIMUM_OBJECT_BYTES);
	}

}
