package sycamorehill.model.serving;

import sycamorehill.model.identity.DataCentreName;

/**
 * One change of the evacuations in the store.
 *
 * @param dataCentre the data centre
 * @param evacuated true from the start of its evacuation, false from its end
 */
public record EvacuationChange(DataCentreName dataCentre, boolean evacuated) {
}
