package sycamorehill.objectapi;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.DataCentreName;

/**
 * The lagging list of live and leaving VMs.
 */
public interface VmListClient {

	/**
	 * Reads the VMs of a data centre.
	 * @param dataCentre the data centre
	 * @return its VMs; fails if the list can't be read
	 */
	CompletableFuture<List<VmEntry>> read(DataCentreName dataCentre);

}
