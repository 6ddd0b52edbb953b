package sycamorehill.local;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FilingIdentifier;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.ticket.IdempotencyRule;
import sycamorehill.model.ticket.ItemChange;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.TicketDraft;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.model.ticket.WorkspaceKeys;

/**
 * The ticket that creates the local system's services, groups and workspaces.
 */
final class FirstTicket {

	static final ServiceName CHAT = ServiceName.of("drafting");

	static final ServiceName ORDERS = ServiceName.of("order-desk");

	static final List<String> KEYS = List.of("stable-key-1", "stable-key-2");

	private static final int MEMBERS = 2;

	private static final double REQUESTS_PER_SECOND = 1000;

	private static final double TOKENS_PER_SECOND = 1_000_000;

	private static final int IN_FLIGHT = 2000;

	private FirstTicket() {
	}

	static TicketDraft create(List<DataCentreName> dataCentres, Map<ServiceName, List<PlainTarget>> plainTargets) {
		List<ItemChange> changes = new ArrayList<>();
		changes.add(ItemChange.set(ServiceItem.model(CHAT, "drafting-model", "1"), 0));
		changes.add(ItemChange.set(
				ServiceItem.plain(ORDERS, plainTargets.get(ORDERS), List.of(new IdempotencyRule("GET", "/", true))),
				0));
		for (DataCentreName dataCentre : dataCentres) {
			changes.add(ItemChange.set(new ModelGroupItem(GroupSetName.of("drafting-" + dataCentre), CHAT, dataCentre,
					2, MEMBERS, 0, false, true), 0));
		}
		for (int number = 0; number < KEYS.size(); number++) {
			changes.add(ItemChange.set(new WorkspaceItem(WorkspaceName.of("stable-" + (number + 1)),
					WorkspaceKeys.hash(KEYS.get(number)), REQUESTS_PER_SECOND, TOKENS_PER_SECOND, IN_FLIGHT, 1), 0));
		}
		return new TicketDraft(FilingIdentifier.of("local-first"), "local", "the first services", changes);
	}

}
