package sycamorehill.support;

import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Ticket drafts for tests.
 */
public final class Drafts {

	private Drafts() {
	}

	public static TicketDraft of(String filing, ItemChange... changes) {
		return new TicketDraft(FilingIdentifier.of(filing), "operator", "test", List.of(changes));
	}

	public static TicketDraft service(String filing, String name, String version, long lastSetBy) {
		return of(filing, ItemChange.set(ServiceItem.model(ServiceName.of(name), "model", version), lastSetBy));
	}

	public static ModelGroupItem groupSet(String name, String service, int groups) {
		return new ModelGroupItem(GroupSetName.of(name), ServiceName.of(service), DataCentreName.of("fukuoka"), groups,
				4, 1, false, true);
	}

	public static WorkspaceItem workspace(String name, char digit) {
		return new WorkspaceItem(WorkspaceName.of(name), String.valueOf(digit).repeat(64), 100, 10_000, 50, 1);
	}

}
