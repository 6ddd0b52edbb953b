package sycamorehill.model.ticket;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;

/**
 * The group set of a model service in one data centre. Each group is a replica of the
 * service.
 *
 * @param name the name of the group set
 * @param service the service that the groups serve
 * @param dataCentre the data centre that the groups run in
 * @param groups the number of groups
 * @param membersPerGroup the number of VMs in each group
 * @param standbys the number of VMs reserved for repairs. Their accelerators stay unused
 * until a repair
 * @param mayCrossDomains whether one group may span fabric domains
 * @param enginesHonourFencing whether the engines refuse commands with an old fencing
 * number
 */
public record ModelGroupItem(GroupSetName name, ServiceName service, DataCentreName dataCentre, int groups,
		int membersPerGroup, int standbys, boolean mayCrossDomains, boolean enginesHonourFencing) implements Item {

	@Override
	public ItemKey key() {
		return ItemKey.of(ItemKind.MODEL_GROUP, this.name.value());
	}

}
