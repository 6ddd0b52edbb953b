package sycamorehill.model.peer;

import sycamorehill.model.identity.DataCentreName;

/**
 * The word of a delegate, or what a node has heard of it, that exactly a certain set of
 * nodes of a data centre was alive.
 *
 * @param dataCentre the data centre
 * @param hash of the nodes, their incarnations and whether they stop
 * @param ageMillis how long ago a delegate of the data centre gave its word; a duration,
 * because clocks of two nodes are never compared
 */
public record DataCentreConfirmation(DataCentreName dataCentre, long hash, int ageMillis) {
}
