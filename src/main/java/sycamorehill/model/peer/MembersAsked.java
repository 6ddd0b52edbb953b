package sycamorehill.model.peer;

import sycamorehill.model.identity.DataCentreName;

/**
 * Asks a node for the live nodes of a data centre that it knows.
 *
 * @param dataCentre the data centre
 */
public record MembersAsked(DataCentreName dataCentre) implements PeerMessage {
}
