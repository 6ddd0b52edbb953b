package sycamorehill.model.ticket;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;

/**
 * Replicas of one model service in one data centre.
 *
 * @param name the set's name
 * @param service the service that the groups answer
 * @param dataCentre where the groups run
 * @param groups how many groups there are to be
 * @param membersPerGroup VMs in each group
 * @param standbys VMs claimed ahead of time for repairs; they cost stranded accelerators
 * @param mayCrossDomains whether one group may span fabric domains
 * @param enginesHonourFencing whether the engines refuse an order with an old fencing
 * number
 */
public record ModelGroupItem(GroupSetName name, ServiceName service, DataCentreName dataCentre, int groups,
		int membersPerGroup, int standbys, boolean mayCrossDomains, boolean enginesHonourFencing) implements Item {

	@Override
	public ItemKey key() {
		return ItemKey.of(ItemKind.MODEL_GROUP, this.name.value());
	}

}
