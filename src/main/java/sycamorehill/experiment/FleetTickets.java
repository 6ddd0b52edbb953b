package sycamorehill.experiment;

import java.util.ArrayList;
import java.util.List;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.WorkspaceItem;

/**
 * Tickets of the sizes that the experiments file.
 */
final class FleetTickets {

	private static final int SERVICES = 20;

	private static final int DATA_CENTRES = 4;

	private static final int WORKSPACES = 400;

	private static final int GROUPS = 4;

	private static final int MEMBERS = 16;

	private FleetTickets() {
	}

	/**
	 * The first ticket: as many services, group sets and workspaces as at the size of two
	 * years out.
	 * @return the draft
	 */
	static TicketDraft whole() {
		List<ItemChange> changes = new ArrayList<>();
		for (int service = 0; service < SERVICES; service++) {
			ServiceName name = ServiceName.of("service-" + service);
			changes.add(ItemChange.set(ServiceItem.model(name, "model-" + service, "1"), 0));
			for (int centre = 0; centre < DATA_CENTRES; centre++) {
				changes.add(ItemChange.set(new ModelGroupItem(GroupSetName.of(name + "-" + centre), name,
						DataCentreName.of("centre-" + centre), GROUPS, MEMBERS, 1, false, true), 0));
			}
		}
		for (int workspace = 0; workspace < WORKSPACES; workspace++) {
			changes.add(ItemChange.set(workspace(workspace, 1), 0));
		}
		return new TicketDraft(FilingIdentifier.of("whole"), "experiment", "begin", changes);
	}

	/**
	 * A later ticket: one service and two workspaces.
	 * @param truth the truth that it follows
	 * @param number makes it different from the others
	 * @return the draft
	 */
	static TicketDraft change(DesiredState truth, int number) {
		ServiceItem service = ServiceItem.model(ServiceName.of("service-" + number % SERVICES),
				"model-" + number % SERVICES, "" + number);
		WorkspaceItem one = workspace(number % WORKSPACES, number + 1);
		WorkspaceItem other = workspace((number + 1) % WORKSPACES, number + 1);
		List<ItemChange> changes = List.of(ItemChange.set(service, truth.lastSetBy(service.key())),
				ItemChange.set(one, truth.lastSetBy(one.key())), ItemChange.set(other, truth.lastSetBy(other.key())));
		return new TicketDraft(FilingIdentifier.of("change-" + number), "experiment", "change", changes);
	}

	private static WorkspaceItem workspace(int index, int limit) {
		String hash = String.format("%064x", index + 1L);
		return new WorkspaceItem(WorkspaceName.of("workspace-" + index), hash, limit, limit, limit, 1);
	}

}
