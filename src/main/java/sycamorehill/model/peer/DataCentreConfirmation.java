package sycamorehill.model.peer;

import sycamorehill.model.identity.DataCentreName;

/**
 * A confirmation by a delegate that exactly a given set of nodes of a data centre is
 * live. Other nodes forward it with its age.
 *
 * @param dataCentre the data centre
 * @param hash the hash of the nodes, their incarnations and whether they are stopping
 * @param ageMillis the time since a delegate of the data centre confirmed the set, in
 * milliseconds. It is a duration because clocks of different nodes are never compared
 */
public record DataCentreConfirmation(DataCentreName dataCentre, long hash, int ageMillis) {
}
