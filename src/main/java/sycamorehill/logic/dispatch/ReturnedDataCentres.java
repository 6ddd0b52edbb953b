package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;

/**
 * Is notified of data centres whose evacuation has ended.
 */
public interface ReturnedDataCentres {

	/**
	 * Handles data centres whose targets may receive requests again.
	 * @param dataCentres the data centres
	 * @param now the current time
	 */
	void handleReturn(Set<DataCentreName> dataCentres, Instant now);

}
