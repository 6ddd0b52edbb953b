package sycamorehill.logic.admission;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.ticket.AppliedItem;
import sycamorehill.model.ticket.DesiredState;
import sycamorehill.model.ticket.Item;
import sycamorehill.model.ticket.ModelGroupItem;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;

/**
 * The data centres that tickets name. All nodes with the same truth find the same, cut
 * off or not.
 */
final class TicketedDataCentres {

	private TicketedDataCentres() {
	}

	static PMap<DataCentreName, Boolean> of(DesiredState truth) {
		PMap<DataCentreName, Boolean> named = TreePMap.empty();
		for (AppliedItem found : truth.items().values()) {
			named = named.plusAll(of(found.item()));
		}
		return named;
	}

	private static PMap<DataCentreName, Boolean> of(Item item) {
		PMap<DataCentreName, Boolean> named = TreePMap.empty();
		if (item instanceof ModelGroupItem group) {
			named = named.plus(group.dataCentre(), true);
		}
		else if (item instanceof ServiceItem service) {
			for (PlainTarget target : service.plainTargets()) {
				named = named.plus(target.dataCentre(), true);
			}
		}
		return named;
	}

}
