package sycamorehill.model.serving;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import sycamorehill.model.identity.DataCentreName;

/**
 * All data centres that are evacuated at a revision of the store.
 *
 * @param names the evacuated data centres
 * @param returned for each data centre whose evacuation has ended, the revision by which
 * its last one had ended; a receiver with an older state may have missed this evacuation
 * @param revision the revision up to which all evacuations are known
 */
public record EvacuatedDataCentres(Set<DataCentreName> names, Map<DataCentreName, Long> returned, long revision) {

	/** The state before the store was read. */
	public static final EvacuatedDataCentres UNKNOWN = new EvacuatedDataCentres(Set.of(), Map.of(), -1);

	/**
	 * Copies the data centres.
	 */
	public EvacuatedDataCentres {
		names = Set.copyOf(names);
		returned = Map.copyOf(returned);
	}

	/**
	 * Returns the evacuated data centres in the order of their names.
	 * @return the names
	 */
	public Set<DataCentreName> sortedNames() {
		return new TreeSet<>(this.names);
	}

	/**
	 * Returns the ended evacuations in the order of their names.
	 * @return the revision by which each had ended
	 */
	public Map<DataCentreName, Long> sortedReturned() {
		return new TreeMap<>(this.returned);
	}

}
