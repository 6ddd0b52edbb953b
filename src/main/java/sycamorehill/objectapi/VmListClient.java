package sycamorehill.objectapi;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import sycamorehill.model.group.VmEntry;
import sycamorehill.model.identity.DataCentreName;

/**
 * Reads the platform's list of live and leaving VMs, which may be out of date.
 */
public interface VmListClient {

	/**
	 * Reads the VMs of a data centre.
	 * @param dataCentre the data centre
	 * @return the VMs; the future fails if the list can't be read
	 */
	CompletableFuture<List<VmEntry>> read(DataCentreName dataCentre);

}
