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
 * Collects the data centres that tickets name. All nodes with the same desired state get
 * the same result, even when partitioned.
 */
final class TicketedDataCentres {

	private TicketedDataCentres() {
	}

	static PMap<DataCentreName, Boolean> of(DesiredState desiredState) {
		PMap<DataCentreName, Boolean> dataCentres = TreePMap.empty();
		for (AppliedItem applied : desiredState.items().values()) {
			dataCentres = dataCentres.plusAll(of(applied.item()));
		}
		return dataCentres;
	}

	private static PMap<DataCentreName, Boolean> of(Item item) {
		PMap<DataCentreName, Boolean> dataCentres = TreePMap.empty();
		if (item instanceof ModelGroupItem group) {
			dataCentres = dataCentres.plus(group.dataCentre(), true);
		}
		else if (item instanceof ServiceItem service) {
			for (PlainTarget target : service.plainTargets()) {
				dataCentres = dataCentres.plus(target.dataCentre(), true);
			}
		}
		return dataCentres;
	}

}
