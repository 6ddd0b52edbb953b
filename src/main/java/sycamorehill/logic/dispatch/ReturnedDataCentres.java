package sycamorehill.logic.dispatch;

import java.time.Instant;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;

/**
 * Receives the data centres whose evacuation has ended. Their targets may be cold.
 */
interface ReturnedDataCentres {

	/**
	 * Handles the end of evacuations.
	 * @param dataCentres the data centres
	 * @param now the current time
	 */
	void handleReturned(Set<DataCentreName> dataCentres, Instant now);

}
